#pragma once

#include <LibCore/Result.h>
#include <LibCore/StrongId.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Sapphire {

/// An IPv4 address, in host byte order.
using Ipv4Address = StrongNumber<struct Ipv4AddressTag, std::uint32_t>;

/// Removes an address "a.b.c.d" from the front of the text. Returns nothing if there is none, or if one of its numbers
/// has a leading zero, which some readers take for octal.
std::optional<Ipv4Address> takeIpv4Address(std::string_view &text);

/// An IPv4 address and a port of TCP or UDP. Text from outside is read once, by parse(), so that no two parts of the
/// program take the same text for different addresses, and none resolves it as a host name.
class Ipv4Endpoint
{
public:
    /// Port 0 of address 0.0.0.0, at which nothing can be reached.
    constexpr Ipv4Endpoint() = default;
    constexpr Ipv4Endpoint(Ipv4Address address, std::uint16_t port) : m_address(address), m_port(port)
    {
    }

    /// Reads "a.b.c.d:port". Fails with InvalidArgument for any other text, numbers with leading zeros and port 0.
    [[nodiscard]] static Result<Ipv4Endpoint> parse(std::string_view text);

    constexpr Ipv4Address address() const
    {
        return m_address;
    }
    constexpr std::uint16_t port() const
    {
        return m_port;
    }
    /// Returns "a.b.c.d:port".
    std::string text() const;

    // NOLINTNEXTLINE(modernize-use-nullptr): as in StrongId.
    friend constexpr auto operator<=>(const Ipv4Endpoint &, const Ipv4Endpoint &) = default;
    friend std::ostream &operator<<(std::ostream &stream, const Ipv4Endpoint &endpoint);

private:
    Ipv4Address m_address;
    std::uint16_t m_port { 0 };
};

} // namespace Sapphire
