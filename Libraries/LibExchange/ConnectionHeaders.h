#pragma once

#include <LibExchange/Messages.h>

#include <string>
#include <string_view>
#include <vector>

namespace Sapphire {

/// Returns whether a header is hop-by-hop or frames the body, so that it must not be forwarded (RFC 9110, section
/// 7.6.1). Takes the name in lower case.
bool isConnectionHeader(std::string_view lowerCaseName);
/// Returns the names that the Connection headers list, in lower case.
std::vector<std::string> connectionOptions(const std::vector<HeaderField> &headers);

} // namespace Sapphire
