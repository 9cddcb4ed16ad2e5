#include <LibExchange/ConnectionHeaders.h>

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

} // namespace

bool isConnectionHeader(std::string_view lowerCaseName)
{
    return std::find(connectionHeaders.begin(), connectionHeaders.end(), lowerCaseName) != connectionHeaders.end();
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
            options.push_back(Poco::toLower(name));
        }
    }
    return options;
}

} // namespace Sapphire
