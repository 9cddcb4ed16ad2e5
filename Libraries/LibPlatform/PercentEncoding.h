#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Sapphire {

/// Encodes every byte except the unreserved ones of RFC 3986, so that the text is one path segment or query value.
std::string percentEncode(std::string_view text);
/// Returns nothing if the text holds an incomplete or invalid escape.
std::optional<std::string> percentDecode(std::string_view text);

} // namespace Sapphire
