#include <LibNet/SocketAddresses.h>

#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace Sapphire {

Poco::Net::SocketAddress socketAddressOf(const Ipv4Endpoint &endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address().value());
    address.sin_port = htons(endpoint.port());
    return { reinterpret_cast<const sockaddr *>(&address), sizeof address };
}

std::optional<Ipv4Endpoint> endpointOf(const Poco::Net::SocketAddress &address)
{
    if (address.family() != Poco::Net::SocketAddress::IPv4) {
        return std::nullopt;
    }
    in_addr bytes {};
    std::memcpy(&bytes, address.host().addr(), sizeof bytes);
    return Ipv4Endpoint(Ipv4Address(ntohl(bytes.s_addr)), address.port());
}

} // namespace Sapphire
