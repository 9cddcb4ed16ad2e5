#pragma once

#include <LibCore/Ipv4Endpoint.h>

#include <Poco/Net/SocketAddress.h>

#include <optional>

namespace Sapphire {

/// Returns the address that POCO's sockets take.
Poco::Net::SocketAddress socketAddressOf(const Ipv4Endpoint &endpoint);
/// Returns nothing for an address that isn't IPv4.
std::optional<Ipv4Endpoint> endpointOf(const Poco::Net::SocketAddress &address);

} // namespace Sapphire
