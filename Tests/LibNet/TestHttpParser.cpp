#include <LibNet/HttpParser.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr std::size_t mostHeadBytes = 16'384;

/// Feeds the bytes one by one, so that input is split at every position. Returns how many bytes were consumed.
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

TEST_CASE("HttpParser does not consume the bytes of the next request")
{
    // Guards against a pipelined request that is lost or read as part of the previous one.
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

TEST_CASE("HttpParser rejects ambiguous or malformed framing")
{
    // Guards against request smuggling: two kinds of framing, two lengths, a length that is not a number.
    CHECK(faultOf("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n")
          == ErrorCode::InvalidArgument);
    CHECK(faultOf("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n") == ErrorCode::InvalidArgument);
    CHECK(faultOf("POST / HTTP/1.1\r\nContent-Length: 3x\r\n\r\n") == ErrorCode::InvalidArgument);
    CHECK(faultOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n") == ErrorCode::InvalidArgument);
    CHECK(faultOf("GET / HTTP/1.1\r\nHost : h\r\n\r\n") == ErrorCode::InvalidArgument);
    CHECK(faultOf("nonsense\r\n\r\n") == ErrorCode::InvalidArgument);
}

TEST_CASE("HttpParser rejects a head that exceeds the limit")
{
    // Guards against a caller that exhausts memory with headers.
    const std::string head = "GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n";
    CHECK(faultOf(head) == ErrorCode::ResourceExhausted);
}

TEST_CASE("HttpParser keeps headers as received")
{
    // Guards against values that are decoded or truncated, since headers must be forwarded unchanged.
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

TEST_CASE("HttpParser ends an answer without a length when the connection ends")
{
    // Guards against taking a truncated answer for a complete one, and the reverse.
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

TEST_CASE("HttpParser parses the body of a request that asks for another protocol")
{
    // Guards against reading the body of an upgrade request as the next request.
    HttpParser parser(HttpParser::Kind::Request, mostHeadBytes);
    REQUIRE(
        feedBytewise(parser, "POST / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\nContent-Length: 3\r\n\r\nabc"));
    CHECK(parser.isComplete());
    CHECK(parser.takeBody() == "abc");
}
