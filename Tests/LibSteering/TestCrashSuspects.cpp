#include <LibSteering/CrashSuspects.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

const Fingerprint request("f1");
const Fingerprint bystander("f2");
const TimePoint start { Milliseconds(1000) };

} // namespace

TEST_CASE("CrashSuspects refuses a request that was alone when its target died")
{
    // Guards against a resent request that takes down one target after another.
    CrashSuspects suspects;
    CHECK_FALSE(suspects.isRefused(request, false, start));
    suspects.noteDeath({ request }, true, start);
    CHECK(suspects.isRefused(request, false, start));
    CHECK_FALSE(suspects.isRefused(request, true, start));
    suspects.noteDeath({ request }, true, start);
    CHECK(suspects.isRefused(request, true, start));
}

TEST_CASE("CrashSuspects does not refuse a bystander after one crash")
{
    // Guards against refusing every request that happened to run beside the faulty one.
    CrashSuspects suspects;
    suspects.noteDeath({ request, bystander }, true, start);
    CHECK_FALSE(suspects.isRefused(request, false, start));
    suspects.noteDeath({ request, bystander }, true, start);
    CHECK(suspects.isRefused(request, false, start));
}

TEST_CASE("CrashSuspects takes over suspects of other VMs and drops them after ten minutes")
{
    CrashSuspects suspects;
    suspects.merge({ request, start, 2 }, start);
    CHECK(suspects.isRefused(request, false, start));
    CHECK(suspects.seenAfter(start - Milliseconds(1), start).size() == 1);
    CHECK_FALSE(suspects.isRefused(request, false, start + Milliseconds(600'001)));
}

TEST_CASE("CrashSuspects does not blame a request that targets have answered for the failure of a region")
{
    // Guards against a read that many callers send and that is refused everywhere once the targets of a region die.
    CrashSuspects suspects;
    suspects.noteAnswered(request, start);
    for (int target = 0; target < 6; ++target) {
        suspects.noteDeath({ request }, true, start);
    }
    CHECK_FALSE(suspects.isRefused(request, true, start));
    CHECK(suspects.seenAfter(start - Milliseconds(1), start).empty());
    suspects.noteDeath({ request }, true, start);
    suspects.noteDeath({ request }, true, start);
    CHECK(suspects.isRefused(request, true, start));
    suspects.noteAnswered(request, start);
    CHECK_FALSE(suspects.isRefused(request, true, start));
}

TEST_CASE("CrashSuspects counts a death once for a request, however often it ran there")
{
    // Guards against a path that many callers read and that stays refused once the targets of a region fail, since the
    // ten requests in flight at each of them counted as ten deaths.
    CrashSuspects suspects;
    suspects.noteAnswered(request, start);
    for (int targets = 0; targets < 3; ++targets) {
        suspects.noteDeath(std::vector<Fingerprint>(10, request), true, start);
    }
    CHECK_FALSE(suspects.isRefused(request, true, start));
}

TEST_CASE("CrashSuspects counts copies of one request as alone at a target")
{
    // Guards against a faulty request that is sent to a second target because two copies of it took down the first one.
    CrashSuspects suspects;
    suspects.noteDeath({ request, request }, true, start);
    CHECK(suspects.isRefused(request, false, start));
}

TEST_CASE("CrashSuspects forgets a suspect that VMs repeat to each other when its time is over")
{
    // Guards against a suspicion without end: a VM that got a suspect later than another would make it younger.
    CrashSuspects suspects;
    suspects.noteDeath({ request }, true, start);
    for (int second = 1; second <= 600; ++second) {
        const TimePoint now = start + std::chrono::seconds(second);
        suspects.merge({ request, now - Milliseconds(1), 2 }, now);
    }
    CHECK_FALSE(suspects.isRefused(request, false, start + Milliseconds(600'001)));
}

TEST_CASE("CrashSuspects tells other VMs only of the worst suspects that they should refuse")
{
    // Guards against telling of bystanders, or against leaving out the request with the most crashes.
    CrashSuspects suspects;
    suspects.noteDeath({ request }, true, start);
    suspects.noteDeath({ request }, true, start);
    suspects.noteDeath({ bystander, Fingerprint("f3") }, true, start);
    suspects.noteDeath({ Fingerprint("f4") }, true, start);
    const std::vector<CrashSuspect> worst = suspects.worst(8, start);
    REQUIRE(worst.size() == 2);
    CHECK(worst.front().fingerprint == request);
    CHECK(suspects.worst(1, start).size() == 1);
}
