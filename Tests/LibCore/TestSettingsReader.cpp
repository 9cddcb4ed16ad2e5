#include <LibCore/SettingsReader.h>

#include <doctest/doctest.h>

using namespace Sapphire;

TEST_CASE("SettingsReader reports every fault with its path")
{
    // Guards against settings files that have to be corrected one fault at a time.
    const Outcome<void> outcome = capture([]() -> Result<void> {
        BOOST_LEAF_AUTO(
            reader,
            SettingsReader::create(R"({"port": 70000, "typo": 1, "vm": {"zone": 5}, "list": [{"a": true}, 3]})"));
        CHECK(reader.requiredInteger("port", 1, 65535) == 1);
        SettingsReader vm = reader.object("vm");
        CHECK(vm.requiredText("zone").empty());
        CHECK(vm.requiredText("region").empty());
        vm.rejectUnknownMembers();
        for (SettingsReader &element : reader.objects("list")) {
            CHECK(element.boolean("a", false));
        }
        reader.rejectUnknownMembers();
        return reader.finish();
    });
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error().code == ErrorCode::InvalidArgument);
    CHECK(outcome.error().message
          == "port: found 70000, expected a whole number from 1 to 65535\n"
             "vm.zone: found 5, expected a text\n"
             "vm.region: found nothing, expected a text\n"
             "list[1]: found 3, expected an object\n"
             "typo: unknown member");
}

TEST_CASE("SettingsReader rejects what is not a JSON object")
{
    for (const char *text : { "", "[]", "3", "{\"a\":" }) {
        const auto outcome = capture([&] {
            return SettingsReader::create(text);
        });
        CHECK_FALSE(outcome);
    }
}
