#include <LibCore/Hash.h>
#include <LibSteering/ServiceSplit.h>
#include <LibSteering/ServingRules.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

Route route(const char *id, const char *host, const char *prefix)
{
    Route result;
    result.id = RouteId(id);
    result.host = host;
    result.pathPrefix = prefix;
    result.services = { { ServiceId("s"), 1 } };
    return result;
}

RefPointer<const ServingRules> rulesWith(std::vector<Route> routes)
{
    ServingRules::Content content;
    content.routes = std::move(routes);
    return RefPointer<const ServingRules>(new ServingRules(content));
}

std::string found(const ServingRules &rules, const char *host, const char *path)
{
    const Route *const result = rules.findRoute(host, path);
    return result == nullptr ? "none" : result->id.text();
}

} // namespace

TEST_CASE("ServingRules finds the route with the longest prefix of the path")
{
    // Guards against requests that go to the service of a shorter prefix or of another host.
    const auto rules = rulesWith({ route("a", "h.example", "/a/"), route("ab", "h.example", "/a/b/"),
                                   route("root", "other.example", "/"), route("x", "h.example", "/ax/") });
    CHECK(found(*rules, "h.example", "/a/1") == "a");
    CHECK(found(*rules, "h.example", "/a/b/1") == "ab");
    CHECK(found(*rules, "h.example", "/a/b") == "a");
    CHECK(found(*rules, "h.example", "/ax") == "none");
    CHECK(found(*rules, "h.example", "/") == "none");
    CHECK(found(*rules, "H.Example:8080", "/a/") == "a");
    CHECK(found(*rules, "other.example", "/a/b/c") == "root");
    CHECK(found(*rules, "nobody.example", "/a/") == "none");
}

TEST_CASE("ServingRules knows customers by the hashes of their keys")
{
    // Guards against keys that are stored in plain text or attributed to another customer.
    ServingRules::Content content;
    CustomerRules first;
    first.id = CustomerId("first");
    first.keyHashes = { sha256Hex("k1"), sha256Hex("k2") };
    CustomerRules second;
    second.id = CustomerId("second");
    second.keyHashes = { sha256Hex("k3") };
    content.customers = { first, second };
    const ServingRules rules(content);
    CHECK(rules.findCustomer("k2")->id == CustomerId("first"));
    CHECK(rules.findCustomer("k3")->id == CustomerId("second"));
    CHECK(rules.findCustomer("k4") == nullptr);
    CHECK(rules.findCustomer("") == nullptr);
}

TEST_CASE("ServiceSplit keeps each service within one request of its share")
{
    // Guards against a split that gets the shares right only in the long run.
    Route split = route("r", "h", "/");
    split.services = { { ServiceId("a"), 90 }, { ServiceId("b"), 10 }, { ServiceId("off"), 0 } };
    ServiceSplit splitter;
    int ofB = 0;
    for (int i = 1; i <= 1'000; ++i) {
        const ServiceId service = splitter.choose(split);
        CHECK(service != ServiceId("off"));
        ofB += service == ServiceId("b") ? 1 : 0;
        CHECK(std::abs(ofB - i * 0.1) <= 1);
    }
}
