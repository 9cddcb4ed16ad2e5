#include <LibPlatform/HttpVmDirectory.h>

#include "PlatformFixture.h"

#include <LibPlatform/VmListText.h>

using namespace Sapphire;

namespace {

ListedVm vmNamed(const std::string &id)
{
    return { VmId(id), { RegionId("cuyo"), AvailabilityZoneId("cuyo-1") }, { "127.1.1.1", 8001, 8002 }, false };
}

} // namespace

TEST_CASE_FIXTURE(PlatformFixture, "HttpVmDirectory shows changes after the list's lag")
{
    const auto directory = expect([&] {
        return HttpVmDirectory::create(settings());
    });
    const auto list = [&] {
        return expect([&] {
            return directory->list(deadlineIn(Milliseconds(2000)));
        });
    };
    CHECK(list().empty());
    VmList &vms = server->parts().vms;
    vms.put(vmNamed("vm-1"), BootClock().now());
    vms.setLag(Milliseconds(100));
    CHECK(vms.markLeaving(VmId("vm-1"), BootClock().now()));
    CHECK_FALSE(vms.markLeaving(VmId("vm-2"), BootClock().now()));
    auto shown = list();
    REQUIRE(shown.size() == 1);
    CHECK_FALSE(shown[0].isLeaving);
    CHECK(shown[0].endpoints == vmNamed("vm-1").endpoints);
    CHECK(shown[0].locality == vmNamed("vm-1").locality);
    const Deadline deadline = deadlineIn(Milliseconds(2000));
    while (!list()[0].isLeaving && !deadline.hasPassed(BootClock().now())) {
    }
    CHECK(list()[0].isLeaving);
}

TEST_CASE("parseVmList rejects lists with missing or wrong members")
{
    // Guards against a malformed answer that reads as an empty list and retires every VM.
    const std::string good = vmListText({ vmNamed("vm-1") });
    CHECK(capture([&] {
        return parseVmList(good);
    }));
    std::string wrongAddress = good;
    wrongAddress.replace(wrongAddress.find("127.1.1.1"), 9, "localhost");
    std::string wrongState = good;
    wrongState.replace(wrongState.find("live"), 4, "gone");
    for (const std::string &text : { std::string("{}"), std::string("[]"), std::string("{\"vms\":[{}]}"),
                                     std::string("{\"vms\":{}}"), wrongAddress, wrongState }) {
        CAPTURE(text);
        const auto outcome = capture([&] {
            return parseVmList(text);
        });
        REQUIRE_FALSE(outcome);
        CHECK(outcome.error().code == ErrorCode::Unavailable);
    }
}
