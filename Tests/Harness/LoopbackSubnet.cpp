#include <Harness/LoopbackSubnet.h>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <atomic>

#include <unistd.h>

namespace Sapphire {

namespace {

// 127.0.x.x is left to programs that use the ordinary loopback addresses.
constexpr int firstSecondOctet = 16;
constexpr int secondOctetCount = 224;
constexpr int thirdOctetCount = 256;

// Below the range from which Linux takes the ports of outgoing connections (32768 and up).
constexpr int lowestPort = 10000;
constexpr int highestPort = 30000;

bool isFree(const std::string &address, int port)
{
    try {
        Poco::Net::ServerSocket socket;
        // Without SO_REUSEPORT, which POCO's shorter overload sets: it lets two processes listen on the same port.
        socket.bind(Poco::Net::SocketAddress(address, static_cast<Poco::UInt16>(port)), true, false);
        return true;
    } catch (const Poco::Exception &) {
        return false;
    }
}

bool areFree(const std::string &address, int base, int count)
{
    for (int port = base; port < base + count; ++port) {
        if (!isFree(address, port)) {
            return false;
        }
    }
    return true;
}

} // namespace

LoopbackSubnet::LoopbackSubnet()
{
    const int number = ::getpid() % (secondOctetCount * thirdOctetCount);
    m_prefix = "127." + std::to_string(firstSecondOctet + number / thirdOctetCount) + "."
        + std::to_string(number % thirdOctetCount) + ".";
}

std::string LoopbackSubnet::address(int host) const
{
    return m_prefix + std::to_string(host);
}

Result<std::uint16_t> freePort(const std::string &address)
{
    return freePortBase(address, 1);
}

Result<std::uint16_t> freePortBase(const std::string &address, int count)
{
    // Successive calls return different ports, since the first caller may not listen yet.
    static std::atomic<int> next { lowestPort };
    for (int tries = 0; tries < highestPort - lowestPort; ++tries) {
        const int base = next.fetch_add(count);
        if (base + count > highestPort) {
            next = lowestPort;
            continue;
        }
        if (areFree(address, base, count)) {
            return static_cast<std::uint16_t>(base);
        }
    }
    return fail(ErrorCode::Unavailable, "no " + std::to_string(count) + " successive free ports at " + address);
}

} // namespace Sapphire
