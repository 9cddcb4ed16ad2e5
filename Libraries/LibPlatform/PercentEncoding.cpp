#include <LibPlatform/PercentEncoding.h>

namespace Sapphire {

namespace {

constexpr std::string_view hexDigits = "0123456789ABCDEF";

bool isUnreserved(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9') || character == '-' || character == '.' || character == '_'
        || character == '~';
}

std::optional<unsigned> hexValue(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return static_cast<unsigned>(digit - '0');
    }
    if (digit >= 'a' && digit <= 'f') {
        return static_cast<unsigned>(digit - 'a') + 10U;
    }
    if (digit >= 'A' && digit <= 'F') {
        return static_cast<unsigned>(digit - 'A') + 10U;
    }
    return std::nullopt;
}

} // namespace

std::string percentEncode(std::string_view text)
{
    std::string encoded;
    encoded.reserve(text.size());
    for (const char character : text) {
        if (isUnreserved(character)) {
            encoded += character;
            continue;
        }
        const auto code = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += hexDigits[code >> 4U];
        encoded += hexDigits[code & 0x0fU];
    }
    return encoded;
}

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        if (i + 2 >= text.size()) {
            return std::nullopt;
        }
        const auto high = hexValue(text[i + 1]);
        const auto low = hexValue(text[i + 2]);
        if (!high || !low) {
            return std::nullopt;
        }
        decoded += static_cast<char>((*high << 4U) | *low);
        i += 2;
    }
    return decoded;
}

} // namespace Sapphire
