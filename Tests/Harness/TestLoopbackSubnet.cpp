#include <Harness/LoopbackSubnet.h>

#include "Expect.h"

#include <Poco/Net/ServerSocket.h>

using namespace Sapphire;

TEST_CASE("freePortBase skips ports in use and never returns a port twice in a row")
{
    // Guards against two processes of a test that are told to listen on the same port.
    const std::string address = LoopbackSubnet().address(1);
    const auto base = [&](int count) {
        return expect([&] {
            return freePortBase(address, count);
        });
    };
    const std::uint16_t first = base(3);
    const std::uint16_t second = base(1);
    CHECK(second == first + 3);
    const Poco::Net::ServerSocket taken(Poco::Net::SocketAddress(address, second + 1));
    CHECK(base(1) == second + 2);
}
