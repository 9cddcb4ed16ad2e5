#include <LibSteering/SyncRequestPolicy.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };
using Choice = SyncRequestPolicy::Choice;

} // namespace

TEST_CASE("HelpSeeking asks the usual VM first, and others once it does not answer")
{
    // Guards against a VM that waits for one that died with the list.
    SyncRequestPolicy help;
    CHECK(help.next(start) == Choice::Preferred);
    CHECK(help.next(start + Milliseconds(100)) == Choice::Nobody);
    CHECK(help.next(start + Milliseconds(200)) == Choice::Preferred);
    CHECK(help.next(start + Milliseconds(400)) == Choice::Other);
    help.reset();
    CHECK(help.next(start + Milliseconds(410)) == Choice::Preferred);
}

TEST_CASE("HelpSeeking stays with a VM that answers")
{
    // Guards against questions to many VMs while a long answer is on its way, and while the first VM itself waits.
    SyncRequestPolicy help;
    TimePoint now = start;
    for (int i = 0; i < 10; ++i) {
        CHECK(help.next(now) == Choice::Preferred);
        help.noteEmptyAnswer(now + Milliseconds(10));
        now += Milliseconds(110);
    }
    for (int i = 0; i < 10; ++i) {
        help.noteProgress(now);
        CHECK(help.next(now + Milliseconds(50)) == Choice::Nobody);
        now += Milliseconds(50);
    }
    CHECK(help.next(now + Milliseconds(150)) == Choice::Preferred);
}
