#include <LibSteering/SyncRequestPolicy.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };
using Choice = SyncRequestPolicy::Choice;

} // namespace

TEST_CASE("SyncRequestPolicy asks the preferred VM first, and others when it does not answer")
{
    // Guards against a VM that waits for the list from one that has died.
    SyncRequestPolicy policy;
    CHECK(policy.next(start) == Choice::Preferred);
    CHECK(policy.next(start + Milliseconds(100)) == Choice::Nobody);
    CHECK(policy.next(start + Milliseconds(200)) == Choice::Preferred);
    CHECK(policy.next(start + Milliseconds(400)) == Choice::Other);
    policy.reset();
    CHECK(policy.next(start + Milliseconds(410)) == Choice::Preferred);
}

TEST_CASE("SyncRequestPolicy stays with a VM that answers")
{
    // Guards against requests to many VMs while a long answer is on its way, and while the first VM itself waits.
    SyncRequestPolicy policy;
    TimePoint now = start;
    for (int i = 0; i < 10; ++i) {
        CHECK(policy.next(now) == Choice::Preferred);
        policy.noteEmptyAnswer(now + Milliseconds(10));
        now += Milliseconds(110);
    }
    for (int i = 0; i < 10; ++i) {
        policy.noteProgress(now);
        CHECK(policy.next(now + Milliseconds(50)) == Choice::Nobody);
        now += Milliseconds(50);
    }
    CHECK(policy.next(now + Milliseconds(150)) == Choice::Preferred);
}
