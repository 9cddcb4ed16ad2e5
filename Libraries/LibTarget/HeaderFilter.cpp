#include <LibTarget/HeaderFilter.h>

#include <Poco/String.h>
#include <Poco/StringTokenizer.h>

#include <algorithm>
#include <array>

namespace Sapphire {

namespace {

constexpr std::array<std::string_view, 10> connectionHeaders {
    "connection",          "keep-alive",       "proxy-authenticate",
    "proxy-authorization", "proxy-connection", "te",
    "transfer-encoding",   "trailer",          "upgrade",
    "content-length",
};
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
    return !contains(connectionHeaders, lower) && !contains(ownRequestHeaders, lower) && !lower.starts_with(ownPrefix);
}

bool mayPassToCaller(std::string_view name)
{
    const std::string lower = lowerCase(name);
    return !contains(connectionHeaders, lower) && !lower.starts_with(ownPrefix);
}

std::vector<std::string> connectionOptions(const std::vector<HeaderField> &headers)
{
    std::vector<std::string> options;
    for (const HeaderField &header : headers) {
        if (Poco::icompare(header.name, "Connection") != 0) {
            continue;
        }
        const Poco::StringTokenizer names(header.value, ",",
                                          Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY);
        for (const std::string &name : names) {
            options.push_back(lowerCase(name));
        }
    }
    return options;
}

} // namespace Sapphire
