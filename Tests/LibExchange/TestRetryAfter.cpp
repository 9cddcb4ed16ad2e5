#include <LibExchange/RetryAfter.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

const TimePoint start { std::chrono::seconds(100) };

} // namespace

TEST_CASE("A Retry-After header is read as seconds with a fraction")
{
    // Guards against a pause that ends too soon because its fraction is cut.
    const auto pauseOf = [](std::string_view text) {
        const RetryAfter read = readRetryAfter(text, start);
        CHECK(read.reading == RetryAfter::Reading::Exact);
        return read.until.remaining(start);
    };
    CHECK(pauseOf("2") == Milliseconds(2'000));
    CHECK(pauseOf("0.25") == Milliseconds(250));
    CHECK(pauseOf("0.0000001") == Microseconds(1));
    CHECK(pauseOf("0") == Microseconds::zero());
    CHECK(pauseOf("300") == std::chrono::seconds(300));
}

TEST_CASE("A Retry-After header that asks for more than a pause can take is shortened")
{
    // Guards against a target that takes itself out of use for good, and against an overflow.
    for (const std::string_view text : { "300.001", "86400", "99999999999999999999" }) {
        const RetryAfter read = readRetryAfter(text, start);
        CHECK(read.reading == RetryAfter::Reading::Shortened);
        CHECK(read.until == Deadline::after(start, std::chrono::seconds(300)));
    }
}

TEST_CASE("A Retry-After header that is no number of seconds is unreadable")
{
    // Guards against a pause of unknown length; a date depends on the clocks of both machines.
    for (const std::string_view text : { "", " ", "-1", "-0", "+1", "nan", "inf", "1e3", "1s", "1,5", "1 2", "0x10",
                                         "soon", "Sun, 06 Dec 2026 08:49:37 GMT" }) {
        CAPTURE(text);
        CHECK(readRetryAfter(text, start).reading == RetryAfter::Reading::Unreadable);
    }
}
