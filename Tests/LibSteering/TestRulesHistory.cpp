#include <LibCore/Hash.h>
#include <LibSteering/RulesHistory.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

RefPointer<const ServingRules> rulesWith(std::uint64_t version, const std::string &key, const std::string &prefix)
{
    ServingRules::Content content;
    content.version = ConfigurationVersion(version);
    CustomerRules customer;
    customer.id = CustomerId("grifo");
    customer.keyHashes = { sha256Hex(key) };
    content.customers = { customer };
    Route route;
    route.id = RouteId(prefix);
    route.host = "h.example";
    route.pathPrefix = prefix;
    content.routes = { route };
    return RefPointer<const ServingRules>(new ServingRules(content));
}

} // namespace

TEST_CASE("RulesHistory names the earlier version that had a key or route")
{
    // Guards against refusals in the log that can't be told apart: of a withdrawn key, and of one that never was valid.
    RulesHistory history;
    CHECK(history.earlierVersionWithKey("k1") == ConfigurationVersion(0));
    CHECK(history.apply(rulesWith(3, "k1", "/a/"), {}));
    CHECK(history.earlierVersionWithKey("k1") == ConfigurationVersion(0));
    CHECK(history.apply(rulesWith(5, "k2", "/b/"), VmId("vm-2")));
    CHECK(history.origin() == VmId("vm-2"));
    CHECK(history.apply(rulesWith(9, "k3", "/c/"), {}));
    CHECK(history.earlierVersionWithKey("k1") == ConfigurationVersion(3));
    CHECK(history.earlierVersionWithKey("k2") == ConfigurationVersion(5));
    CHECK(history.earlierVersionWithKey("k4") == ConfigurationVersion(0));
    CHECK(history.earlierVersionWithRoute("h.example", "/b/1") == ConfigurationVersion(5));
    CHECK(history.earlierVersionWithRoute("h.example", "/d/1") == ConfigurationVersion(0));
}

TEST_CASE("RulesHistory ignores a version that isn't newer")
{
    // Guards against rules that revert when an older version arrives late.
    RulesHistory history;
    CHECK(history.apply(rulesWith(5, "k1", "/a/"), {}));
    CHECK(!history.apply(rulesWith(5, "k2", "/a/"), VmId("vm-2")));
    CHECK(!history.apply(rulesWith(4, "k2", "/a/"), VmId("vm-2")));
    CHECK(history.current()->findCustomer("k1") != nullptr);
    CHECK(history.origin().isEmpty());
}
