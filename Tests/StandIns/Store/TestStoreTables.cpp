#include <StandIns/Store/StoreTables.h>

#include <doctest/doctest.h>

using namespace Sapphire;

TEST_CASE("StoreTables returns changes in order and none from before a dropped history")
{
    // Guards against a stand-in that is more lenient than the real store, so that tests pass that should fail.
    StoreTables tables;
    tables.set("op", "b", "1");
    tables.set("op", "a", "2");
    tables.set("other", "x", "3");
    CHECK(tables.rows("op", "", 10).size() == 2);
    CHECK(tables.rows("op", "", 10).front().key == "a");
    CHECK(tables.rows("op", "b", 10).size() == 1);
    const std::uint64_t before = tables.version();
    tables.remove("op", "a");
    tables.set("op", "b", "4");
    const auto changes = tables.changesAfter("op", before);
    REQUIRE(changes);
    REQUIRE(changes->size() == 2);
    CHECK(changes->front().isRemoved);
    CHECK(changes->back().value == "4");
    tables.dropHistory();
    CHECK(!tables.changesAfter("op", before));
    CHECK(tables.changesAfter("op", tables.version()));
}
