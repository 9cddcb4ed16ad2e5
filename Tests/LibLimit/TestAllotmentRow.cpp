#include <LibLimit/AllotmentRow.h>

#include <doctest/doctest.h>

using namespace Sapphire;

TEST_CASE("an encoded allotment is decoded without loss")
{
    // Guards against fields that are written but not read back.
    const Allotment allotment { { { { VmId("vm-1"), Incarnation(7) }, Share(400'000), 2.5 },
                                  { { VmId("vm \"2\""), Incarnation(1) }, Share(600'000), 0 } } };
    const auto decoded = capture([&] {
        return AllotmentRow::decode(AllotmentRow::encode(allotment));
    });
    REQUIRE(decoded);
    CHECK(decoded.value() == allotment);
}

TEST_CASE("a damaged row is rejected with the reason")
{
    // Guards against a damaged row that counts as an empty allotment or one that exceeds the whole.
    const auto faultOf = [](const std::string &text) {
        const auto decoded = capture([&] {
            return AllotmentRow::decode(text);
        });
        return decoded ? std::string() : decoded.error().message;
    };
    CHECK(faultOf("{").find("not valid JSON") != std::string::npos);
    CHECK(faultOf(R"({"entries":[{"vm":"a","incarnation":1,"share":600000},
                                 {"vm":"b","incarnation":1,"share":600000}]})")
              .find("sum to 1200000")
          != std::string::npos);
    CHECK(faultOf(R"({"entries":[{"vm":"a","incarnation":1,"share":1},{"vm":"a","incarnation":2,"share":1}]})")
              .find("entries[1].vm")
          != std::string::npos);
    CHECK(faultOf(R"({"entries":[{"vm":"a","incarnation":1,"share":-1}]})").find("entries[0].share")
          != std::string::npos);
}
