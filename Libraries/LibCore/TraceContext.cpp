#include <LibCore/TraceContext.h>

#include <algorithm>

namespace Sapphire {

namespace {

constexpr std::size_t traceIdDigits = 32;
constexpr std::size_t spanIdDigits = 16;
// "00-", trace id, "-", span id, "-", two digits of flags.
constexpr std::size_t headerLength = 3 + traceIdDigits + 1 + spanIdDigits + 3;

bool isId(std::string_view digits)
{
    const bool isHexadecimal = std::all_of(digits.begin(), digits.end(), [](char digit) {
        return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
    });
    return isHexadecimal && digits.find_first_not_of('0') != std::string_view::npos;
}

} // namespace

std::optional<TraceContext> TraceContext::parse(std::string_view header)
{
    if (header.size() != headerLength || header.substr(0, 3) != "00-") {
        return std::nullopt;
    }
    const std::string_view traceId = header.substr(3, traceIdDigits);
    const std::string_view spanId = header.substr(3 + traceIdDigits + 1, spanIdDigits);
    if (!isId(traceId) || !isId(spanId) || header[3 + traceIdDigits] != '-' || header[headerLength - 3] != '-') {
        return std::nullopt;
    }
    const char flags = header.back();
    const bool isSampled = flags == '1' || flags == '3';
    return TraceContext { std::string(traceId), std::string(spanId), isSampled };
}

TraceContext TraceContext::create(RandomSource &random)
{
    return { random.hexDigits(traceIdDigits), random.hexDigits(spanIdDigits), true };
}

TraceContext TraceContext::child(RandomSource &random) const
{
    return { traceId, random.hexDigits(spanIdDigits), isSampled };
}

std::string TraceContext::header() const
{
    return "00-" + traceId + "-" + spanId + (isSampled ? "-01" : "-00");
}

} // namespace Sapphire
