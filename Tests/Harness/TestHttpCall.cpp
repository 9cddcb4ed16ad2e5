#include <Harness/HttpAnswerReader.h>
#include <Harness/HttpCall.h>
#include <Harness/LoopbackSubnet.h>

#include "Expect.h"

#include <functional>
#include <vector>

using namespace Sapphire;

namespace {

/// Gives the text to a reader in pieces of the given size, then ends the connection.
Outcome<HttpAnswer> readInPieces(const std::string &text, std::size_t size)
{
    return capture([&]() -> Result<HttpAnswer> {
        HttpAnswerReader reader(false);
        for (std::size_t begin = 0; begin < text.size() && !reader.isComplete(); begin += size) {
            BOOST_LEAF_CHECK(reader.add(std::string_view(text).substr(begin, size)));
        }
        if (!reader.isComplete()) {
            BOOST_LEAF_CHECK(reader.end());
        }
        return reader.takeAnswer();
    });
}

const std::string chunked = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                            "X-A: b\r\n\r\n5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\n";
const std::string sized = "HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone";

} // namespace

TEST_CASE("HttpAnswerReader reads answers in pieces of any size")
{
    for (std::size_t size = 1; size <= chunked.size(); ++size) {
        const Outcome<HttpAnswer> answer = readInPieces(chunked, size);
        REQUIRE(answer);
        CHECK(answer.value().body == "hello world");
        CHECK(answer.value().header("x-a") == "b");
    }
    CHECK(readInPieces(sized, 7).value().status == 404);
    CHECK(readInPieces("HTTP/1.0 200 OK\r\n\r\nuntil the end", 3).value().body == "until the end");
}

TEST_CASE("HttpAnswerReader reports every truncated answer")
{
    // Guards against a test that takes a truncated answer for a complete one.
    const std::size_t interimLength = chunked.find("HTTP/1.1 200");
    for (const std::string &text : { std::cref(chunked), std::cref(sized) }) {
        for (std::size_t length = 0; length < text.size(); ++length) {
            const Outcome<HttpAnswer> answer = readInPieces(text.substr(0, length), 1000);
            REQUIRE_FALSE(answer);
            // After a complete interim (1xx) answer, the final answer has not begun.
            const bool hasNotBegun = length == 0 || (&text == &chunked && length == interimLength);
            CHECK(answer.error().code == (hasNotBegun ? ErrorCode::Unavailable : ErrorCode::DataLoss));
        }
    }
}

TEST_CASE("HttpCall reports a refused connection as not run")
{
    const std::string address = LoopbackSubnet().address(1);
    const std::uint16_t port = expect([&] {
        return freePort(address);
    });
    const auto outcome = capture([&] {
        return HttpCall { "GET", "http://" + address + ":" + std::to_string(port) + "/", {}, {} }.run();
    });
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error().code == ErrorCode::Unavailable);
    CHECK(outcome.error().verdict == Verdict::NotRun);
}
