#pragma once

#include <array>
#include <charconv>
#include <string>
#include <string_view>

namespace Sapphire {

/// The last chunk and the empty trailer section that end a chunked body.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

/// Returns the chunk-size line that precedes a chunk of that many bytes.
inline std::string chunkHead(std::size_t bytes)
{
    std::array<char, 2 * sizeof bytes> digits;
    const char *const end = std::to_chars(digits.data(), digits.data() + digits.size(), bytes, 16).ptr;
    return std::string(digits.data(), static_cast<std::size_t>(end - digits.data())) + "\r\n";
}

} // namespace Sapphire
