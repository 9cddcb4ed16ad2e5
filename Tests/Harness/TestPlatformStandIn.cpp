#include <Harness/HttpCall.h>
#include <Harness/LoopbackSubnet.h>
#include <Harness/PlatformStandIn.h>

#include "Expect.h"

#include <LibPlatform/HttpVmDirectory.h>

using namespace Sapphire;

TEST_CASE("PlatformStandIn starts the program and sets its faults")
{
    // Guards against a harness and a program that disagree on the control endpoints.
    const auto folder = scratchFolder();
    const std::string ip = LoopbackSubnet().address(1);
    const std::string address = ip + ":" + std::to_string(expect([&] {
                                    return freePort(ip);
                                }));
    const auto platform = expect([&] {
        return PlatformStandIn::create(*folder, address);
    });
    const auto directory = expect([&] {
        return HttpVmDirectory::create({ address });
    });
    const ListedVm vm { VmId("a/1"), { RegionId("cuyo"), AvailabilityZoneId("1") }, { "127.1.1.1", 1, 2 }, false };
    expect([&] {
        return platform->putVm(vm);
    });
    expect([&] {
        return platform->markLeaving(vm.vm);
    });
    const auto list = [&] {
        return expect([&] {
            return directory->list(after(std::chrono::seconds(5)));
        });
    };
    REQUIRE(list().size() == 1);
    CHECK(list()[0].isLeaving);
    expect([&] {
        return platform->removeVm(vm.vm);
    });
    CHECK(list().empty());

    const auto put = [&](Milliseconds timeout) {
        return capture([&] {
            return HttpCall { "PUT", "http://" + address + "/tables/t/rows/a", {}, "value", timeout }.run();
        });
    };
    expect([&] {
        return platform->loseAnswers(1);
    });
    CHECK(put(Milliseconds(5000)).error().code == ErrorCode::Unavailable);
    expect([&] {
        return platform->setOutage(OutageMode::Refuse);
    });
    CHECK(put(Milliseconds(5000)).value().status == 503);
    expect([&] {
        return platform->setOutage(OutageMode::Silent);
    });
    CHECK(put(Milliseconds(50)).error().code == ErrorCode::Timeout);
    expect([&] {
        return platform->setOutage(OutageMode::None);
    });
    expect([&] {
        return platform->setLatency(Milliseconds(0));
    });
    expect([&] {
        return platform->setVmListLag(Milliseconds(0));
    });
    CHECK(put(Milliseconds(5000)).value().status == 204);
    const PlatformCounters counters = expect([&] {
        return platform->counters();
    });
    CHECK(counters.writes == 4);
    CHECK(counters.mostWritesPerSecond >= 1);
    CHECK(counters.readCeiling == 2000);
    platform->process().terminate();
    const auto status = platform->process().wait(after(std::chrono::seconds(5)));
    CAPTURE(platform->process().errorOutput());
    REQUIRE(status.has_value());
    CHECK(status->code == 0);
    CHECK(status->signal == 0);
}
