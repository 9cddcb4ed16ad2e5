#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <string>

namespace Sapphire {

/// The loopback addresses 127.a.b.1 to 127.a.b.254, where a and b are derived from the process id. Tests that run in
/// parallel can then use the same ports.
class LoopbackSubnet
{
public:
    LoopbackSubnet();

    /// Returns the address with the given last octet, 1 to 254.
    std::string address(int host) const;

private:
    std::string m_prefix;
};

/// Returns a port that nothing listens on at that address. Fails with Unavailable.
[[nodiscard]] Result<std::uint16_t> freePort(const std::string &address);

/// Returns the first of `count` successive ports that nothing listens on at that address. Fails with Unavailable.
[[nodiscard]] Result<std::uint16_t> freePortBase(const std::string &address, int count);

} // namespace Sapphire
