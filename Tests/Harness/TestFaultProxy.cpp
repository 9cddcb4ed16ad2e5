#include <Harness/FaultProxy.h>
#include <Harness/HttpCall.h>
#include <Harness/LoopbackSubnet.h>
#include <Harness/PlatformStandIn.h>

#include "Expect.h"

using namespace Sapphire;

TEST_CASE("FaultProxy starts the program and sets its faults")
{
    // Guards against a harness and a program that disagree on the control endpoints.
    const auto folder = scratchFolder();
    const std::string ip = LoopbackSubnet().address(1);
    const std::uint16_t base = expect([&] {
        return freePortBase(ip, 4);
    });
    const auto address = [&](int index) {
        return ip + ":" + std::to_string(base + index);
    };
    const auto platform = expect([&] {
        return PlatformStandIn::create(*folder, address(0));
    });
    const auto proxy = expect([&] {
        return FaultProxy::create(*folder, address(1), { { "a/1", address(2), address(0) } });
    });
    expect([&] {
        return proxy->addLinks({ { "b/1", address(3), address(0) } });
    });
    const auto status = [&](int link) {
        const auto answer = capture([&] {
            return HttpCall { "GET", "http://" + address(link) + "/vms", {}, {}, Milliseconds(5000) }.run();
        });
        return answer ? answer.value().status : 0;
    };
    CHECK(status(2) == 200);
    CHECK(status(3) == 200);
    expect([&] {
        return proxy->cut("a/");
    });
    CHECK(status(2) == 0);
    CHECK(status(3) == 200);
    expect([&] {
        return proxy->clear("");
    });
    CHECK(status(2) == 200);
    expect([&] {
        return proxy->silenceExisting("b/");
    });
    CHECK(status(3) == 200);
    const std::vector<LinkCounters> links = expect([&] {
        return proxy->counters();
    });
    REQUIRE(links.size() == 2);
    CHECK(links[0].accepted == 2);
    CHECK(links[1].accepted == 3);
    CHECK(links[1].bytes.toServer > 0);
    const auto unknown = capture([&] {
        return proxy->clear("c/");
    });
    CHECK_FALSE(unknown);
    proxy->process().terminate();
    const auto exit = proxy->process().wait(after(std::chrono::seconds(5)));
    CAPTURE(proxy->process().errorOutput());
    REQUIRE(exit.has_value());
    CHECK(exit->code == 0);
    CHECK(exit->signal == 0);
}
