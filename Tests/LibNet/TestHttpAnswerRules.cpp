#include <Fakes/AnswerRows.h>
#include <LibNet/HttpParser.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr std::size_t mostHeadBytes = 16'384;

struct ParsedAnswer
{
    bool isComplete { false };
    int status { 0 };
    std::string body;
};

/// Parses an answer after its informational ones, from pieces of a size. Fails as HttpParser::feed() does.
Result<ParsedAnswer> parse(std::string_view bytes, std::size_t pieceBytes)
{
    HttpParser parser(HttpParser::Kind::Answer, mostHeadBytes);
    ParsedAnswer answer;
    while (!bytes.empty() && !answer.isComplete) {
        BOOST_LEAF_AUTO(taken, parser.feed(bytes.substr(0, pieceBytes)));
        bytes.remove_prefix(taken);
        answer.body += parser.takeBody();
        parser.skipInformational();
        answer.isComplete = parser.isComplete();
    }
    answer.status = parser.head().status;
    return answer;
}

} // namespace

TEST_CASE("HttpParser takes what is an answer and nothing else")
{
    // Guards against bytes that another program would read as a different answer, or as none.
    for (const AnswerRow &row : answerRows()) {
        for (const std::size_t pieceBytes : { std::size_t { 1 }, std::size_t { 7 }, row.text.size() + 1 }) {
            CAPTURE(row.name);
            CAPTURE(pieceBytes);
            const Outcome<ParsedAnswer> answer = capture([&] {
                return parse(row.withFields(), pieceBytes);
            });
            if (!row.isValid) {
                CHECK(!answer);
                continue;
            }
            REQUIRE(answer);
            CHECK(answer.value().isComplete);
            CHECK(answer.value().status == row.status);
            CHECK(answer.value().body == row.body);
        }
    }
}

TEST_CASE("HttpParser rejects folded lines and unknown codings in requests too")
{
    // Guards against a request that is passed on with another meaning than its caller's.
    for (const char *text :
         { "GET / HTTP/1.1\r\nHost: h\r\nName: a\r\n b\r\n\r\n", "GET / HTTP/1.1\r\n Host: h\r\n\r\n",
           "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
           "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;a\nb\r\nx\r\n0\r\n\r\n" }) {
        CAPTURE(text);
        HttpParser parser(HttpParser::Kind::Request, mostHeadBytes);
        CHECK(!capture([&] {
            return parser.feed(text);
        }));
    }
    HttpParser parser(HttpParser::Kind::Request, mostHeadBytes);
    CHECK(capture([&] {
        return parser.feed("\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n");
    }));
    CHECK(parser.isComplete());
}
