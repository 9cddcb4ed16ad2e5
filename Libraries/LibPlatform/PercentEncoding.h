#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Sapphire {

/// Encodes every byte that RFC 3986 does not call unreserved, so that the text is one path segment or query value.
std::string percentEncode(std::string_view text);
/// Returns nothing if the text holds an incomplete or wrong escape.
std::optional<std::string> percentDecode(std::string_view text);

} // namespace Sapphire
