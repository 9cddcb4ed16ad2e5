#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <string>

namespace Sapphire {

/// Addresses 127.a.b.1 to 127.a.b.254 that belong to this process, where a and b follow from its id. Tests that run at
/// the same time can then use the same ports.
class LoopbackSubnet
{
public:
    LoopbackSubnet();

    /// Returns the address with the given last number, 1 to 254.
    std::string address(int host) const;

private:
    std::string m_prefix;
};

/// Returns a port that nothing listens on at that address. Fails with Unavailable.
[[nodiscard]] Result<std::uint16_t> freePort(const std::string &address);

/// Returns the first of `count` successive ports that nothing listens on at that address. Fails with Unavailable.
[[nodiscard]] Result<std::uint16_t> freePortBase(const std::string &address, int count);

} // namespace Sapphire
