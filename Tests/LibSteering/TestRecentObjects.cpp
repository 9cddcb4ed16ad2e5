#include <LibSteering/RecentObjects.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };

} // namespace

TEST_CASE("RecentObjects keeps the most recently handled objects up to its capacity")
{
    // Guards against memory use that grows with the number of objects.
    RecentObjects objects(2);
    objects.note(1, start);
    objects.note(2, start);
    objects.note(1, start + Milliseconds(1));
    objects.note(3, start);
    CHECK(objects.lastHandled(1) == start + Milliseconds(1));
    CHECK(objects.lastHandled(2) == TimePoint {});
    CHECK(objects.lastHandled(3) == start);
}
