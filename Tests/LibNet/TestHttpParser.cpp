#include <LibNet/HttpParser.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr std::size_t mostHeadBytes = 16'384;

/// Feeds the bytes one by one, so that every place where a message may be cut is tried. Returns how many were taken.
Outcome<std::size_t> feedBytewise(HttpParser &parser, std::string_view bytes)
{
    std::size_t taken = 0;
    for (const char &byte : bytes) {
        const Outcome<std::size_t> step = capture([&] {
            return parser.feed({ &byte, 1 });
        });
        if (!step) {
            return step.error();
        }
        taken += step.value();
    }
    return taken;
}

ErrorCode faultOf(std::string_view bytes)
{
    HttpParser parser(HttpParser::Kind::Request, mostHeadBytes);
    const Outcome<std::size_t> fed = feedBytewise(parser, bytes);
    REQUIRE(!fed);
    return fed.error().code;
}

} // namespace

TEST_CASE("HttpParser leaves the bytes of the next request")
{
    // Guards against a pipelined request that is lost or read as a part of the one before.
    const std::string first = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
    const std::string second = "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    HttpParser parser(HttpParser::Kind::Request, mostHeadBytes);
    const Outcome<std::size_t> taken = capture([&] {
        return parser.feed(first + second);
    });
    REQUIRE(taken);
    CHECK(taken.value() == first.size());
    CHECK(parser.isComplete());
    CHECK(parser.takeBody() == "abc");
    parser.begin();
    REQUIRE(feedBytewise(parser, second));
    CHECK(parser.isComplete());
    CHECK(parser.head().target == "/b");
}

TEST_CASE("HttpParser refuses what could hide a request inside another one")
{
    // Guards against request smuggling: two ways of framing, two lengths, a length that is no number.
    CHECK(faultOf("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n")
          == ErrorCode::InvalidArgument);
    CHECK(faultOf("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n") == ErrorCode::InvalidArgument);
    CHECK(faultOf("POST / HTTP/1.1\r\nContent-Length: 3x\r\n\r\n") == ErrorCode::InvalidArgument);
    CHECK(faultOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n") == ErrorCode::InvalidArgument);
    CHECK(faultOf("GET / HTTP/1.1\r\nHost : h\r\n\r\n") == ErrorCode::InvalidArgument);
    CHECK(faultOf("nonsense\r\n\r\n") == ErrorCode::InvalidArgument);
}

TEST_CASE("HttpParser refuses a head that is larger than the limit")
{
    // Guards against a caller that fills the memory with headers.
    const std::string head = "GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n";
    CHECK(faultOf(head) == ErrorCode::ResourceExhausted);
}

TEST_CASE("HttpParser keeps headers as they were received")
{
    // Guards against values that a parser decodes or cuts: what passes through has to stay unchanged.
    const std::string encoded = "=?UTF-8?B?w6k=?=";
    HttpParser parser(HttpParser::Kind::Request, mostHeadBytes);
    REQUIRE(feedBytewise(parser,
                         "GET / HTTP/1.1\r\nHost: h\r\nX-Empty:\r\nX-Word: " + encoded
                             + "\r\nX-Long: " + std::string(9'000, 'y') + "\r\n\r\n"));
    CHECK(parser.head().header("x-word") == encoded);
    CHECK(parser.head().header("X-Empty") == "");
    CHECK(parser.head().header("X-Long")->size() == 9'000);
    CHECK(parser.head().count("host") == 1);
}

TEST_CASE("HttpParser takes the end of the connection as the end of an answer without a length")
{
    // Guards against an answer that is cut and looks complete, and against one that is complete and looks cut.
    HttpParser parser(HttpParser::Kind::Answer, mostHeadBytes);
    REQUIRE(feedBytewise(parser, "HTTP/1.1 200 OK\r\n\r\npart"));
    CHECK(parser.endsWithConnection());
    CHECK(!parser.isComplete());
    CHECK(capture([&] {
        return parser.finish();
    }));
    CHECK(parser.isComplete());

    parser.begin();
    REQUIRE(feedBytewise(parser, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"));
    CHECK(!parser.endsWithConnection());
    CHECK(!capture([&] {
        return parser.finish();
    }));

    parser.begin();
    REQUIRE(feedBytewise(parser, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"));
    CHECK(!capture([&] {
        return parser.finish();
    }));
}

TEST_CASE("HttpParser expects no body in answers to HEAD and in interim answers")
{
    // Guards against waiting for a body that never comes.
    HttpParser parser(HttpParser::Kind::Answer, mostHeadBytes);
    parser.begin(true);
    REQUIRE(feedBytewise(parser, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"));
    CHECK(parser.isComplete());
    CHECK(parser.head().bodyBytes == 9);
    parser.begin();
    REQUIRE(feedBytewise(parser, "HTTP/1.1 100 Continue\r\n\r\n"));
    CHECK(parser.isComplete());
}

TEST_CASE("HttpParser looks for a body even if the request asks for another protocol")
{
    // Guards against an upgrade request whose body would be read as the next request.
    HttpParser parser(HttpParser::Kind::Request, mostHeadBytes);
    REQUIRE(
        feedBytewise(parser, "POST / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\nContent-Length: 3\r\n\r\nabc"));
    CHECK(parser.isComplete());
    CHECK(parser.takeBody() == "abc");
}
