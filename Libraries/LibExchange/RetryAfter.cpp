#include <LibExchange/RetryAfter.h>

#include <charconv>
#include <cmath>

namespace Sapphire {

namespace {

// A faulty target must not take itself out of use for good.
constexpr std::chrono::seconds longestPause { 300 };

} // namespace

RetryAfter readRetryAfter(std::string_view text, TimePoint now)
{
    double seconds = 0;
    const char *const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
    const bool isNumber = result.ec == std::errc() && result.ptr == end && std::isfinite(seconds);
    if (!isNumber || std::signbit(seconds)) {
        return {};
    }
    if (seconds > static_cast<double>(longestPause.count())) {
        return { RetryAfter::Reading::Shortened, Deadline::after(now, longestPause) };
    }
    const auto pause = std::chrono::ceil<Microseconds>(std::chrono::duration<double>(seconds));
    return { RetryAfter::Reading::Exact, Deadline::after(now, pause) };
}

} // namespace Sapphire
