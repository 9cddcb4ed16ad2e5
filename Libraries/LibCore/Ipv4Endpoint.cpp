#include <LibCore/Ipv4Endpoint.h>

#include <charconv>

namespace Sapphire {

namespace {

constexpr std::uint32_t mostOctet = 255;
constexpr int octetCount = 4;
constexpr unsigned octetBits = 8;
constexpr std::uint32_t mostPort = 65'535;

/// Removes a decimal number of at most `most`, without leading zeros, from the front of the text.
std::optional<std::uint32_t> takeNumber(std::string_view &text, std::uint32_t most)
{
    std::uint32_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const auto length = static_cast<std::size_t>(end - text.data());
    if (error != std::errc() || number > most || (length > 1 && text.front() == '0')) {
        return std::nullopt;
    }
    text.remove_prefix(length);
    return number;
}

} // namespace

std::optional<Ipv4Address> takeIpv4Address(std::string_view &text)
{
    std::uint32_t address = 0;
    for (int octet = 0; octet < octetCount; ++octet) {
        if (octet > 0) {
            if (!text.starts_with('.')) {
                return std::nullopt;
            }
            text.remove_prefix(1);
        }
        const std::optional<std::uint32_t> number = takeNumber(text, mostOctet);
        if (!number) {
            return std::nullopt;
        }
        address = (address << octetBits) | *number;
    }
    return Ipv4Address(address);
}

Result<Ipv4Endpoint> Ipv4Endpoint::parse(std::string_view text)
{
    std::string_view left = text;
    const std::optional<Ipv4Address> address = takeIpv4Address(left);
    if (address && left.starts_with(':')) {
        left.remove_prefix(1);
        const std::uint32_t port = takeNumber(left, mostPort).value_or(0);
        if (port > 0 && left.empty()) {
            return Ipv4Endpoint(*address, static_cast<std::uint16_t>(port));
        }
    }
    return fail(ErrorCode::InvalidArgument, "found \"" + std::string(text) + "\", expected an IPv4 address and a port");
}

std::string Ipv4Endpoint::text() const
{
    std::string text;
    for (int octet = octetCount - 1; octet >= 0; --octet) {
        const std::uint32_t number = (m_address.value() >> (octetBits * static_cast<unsigned>(octet))) & mostOctet;
        text += std::to_string(number) + (octet > 0 ? "." : ":");
    }
    return text + std::to_string(m_port);
}

std::ostream &operator<<(std::ostream &stream, const Ipv4Endpoint &endpoint)
{
    return stream << endpoint.text();
}

} // namespace Sapphire
