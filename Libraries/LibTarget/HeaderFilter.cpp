#include <LibTarget/HeaderFilter.h>

#include <LibExchange/ConnectionHeaders.h>

#include <Poco/String.h>

#include <algorithm>
#include <array>

namespace Sapphire {

namespace {

// Headers that this system sets itself, or that would alter its own exchange with the target.
constexpr std::array<std::string_view, 7> ownRequestHeaders {
    "authorization", "host", "expect", "request-timeout-ms", "traceparent", "tracestate", "idempotency-key",
};
// Prefix of this system's own headers, which callers and targets must not be able to forge.
constexpr std::string_view ownPrefix = "sapphire-";
constexpr char firstPrintable = ' ';
constexpr char deleteCharacter = 0x7f;

std::string lowerCase(std::string_view name)
{
    return Poco::toLower(std::string(name));
}

bool contains(const auto &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

bool isSafeText(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char character) {
        const bool isControl = static_cast<unsigned char>(character) < firstPrintable && character != '\t';
        return isControl || character == deleteCharacter;
    });
}

bool mayForwardToTarget(std::string_view name)
{
    const std::string lower = lowerCase(name);
    return !isConnectionHeader(lower) && !contains(ownRequestHeaders, lower) && !lower.starts_with(ownPrefix);
}

bool mayForwardToCaller(std::string_view name)
{
    const std::string lower = lowerCase(name);
    return !isConnectionHeader(lower) && !lower.starts_with(ownPrefix);
}

} // namespace Sapphire
