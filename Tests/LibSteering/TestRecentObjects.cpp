#include <LibSteering/RecentObjects.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };

} // namespace

TEST_CASE("WarmObjects remembers as many objects as it may, those handled last")
{
    // Guards against memory that grows with the objects of callers.
    RecentObjects objects(2);
    objects.note(1, start);
    objects.note(2, start);
    objects.note(1, start + Milliseconds(1));
    objects.note(3, start);
    CHECK(objects.lastHandled(1) == start + Milliseconds(1));
    CHECK(objects.lastHandled(2) == TimePoint {});
    CHECK(objects.lastHandled(3) == start);
}
