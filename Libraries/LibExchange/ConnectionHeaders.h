#pragma once

#include <LibExchange/Messages.h>

#include <string>
#include <string_view>
#include <vector>

namespace Sapphire {

/// Returns whether a header, by its name in lower case, concerns one connection only or frames the body, so that it is
/// not passed on (RFC 9110, section 7.6.1).
bool isConnectionHeader(std::string_view lowerCaseName);
/// Returns the names that the Connection headers list, in lower case.
std::vector<std::string> connectionOptions(const std::vector<HeaderField> &headers);

} // namespace Sapphire
