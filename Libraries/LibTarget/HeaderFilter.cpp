#include <LibTarget/HeaderFilter.h>

#include <LibExchange/ConnectionHeaders.h>

#include <Poco/String.h>

#include <algorithm>
#include <array>

namespace Sapphire {

namespace {

// The exchange sets these itself, or they would change how it talks to the target.
constexpr std::array<std::string_view, 7> ownRequestHeaders {
    "authorization", "host", "expect", "request-timeout-ms", "traceparent", "tracestate", "idempotency-key",
};
// Headers of this system; a caller or target may not speak in its name.
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

bool mayPassToTarget(std::string_view name)
{
    const std::string lower = lowerCase(name);
    return !isConnectionHeader(lower) && !contains(ownRequestHeaders, lower) && !lower.starts_with(ownPrefix);
}

bool mayPassToCaller(std::string_view name)
{
    const std::string lower = lowerCase(name);
    return !isConnectionHeader(lower) && !lower.starts_with(ownPrefix);
}

} // namespace Sapphire
