#include <platform/RulesFormat.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint now { Milliseconds(1'000'000) };

const std::string rulesText = R"({"version":"0000000c","routes":[
  {"name":"r1","host":"h.example","prefix":"/a/","kind":"idempotent","timeout":"1200ms","target_latency":"400ms",
   "priority":2,"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":2,"public":false,
   "sticky":true,"home_regions":["cuyo"]},
  {"name":"r2","host":"h.example","prefix":"/b/","kind":"non_idempotent","timeout":"1500ms","service":"s2"},
  {"name":"broken","host":"h.example","prefix":"/c/","kind":"idempotent","timeout":12,"service":"s1"}],
 "services":[{"name":"s1","health_path":"/health","max_conns":813,"cold_start":"3s","cold_per_s":9.5},{"name":"s2"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout":"3000ms","idle_timeout":"15000ms"},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1,"rate_per_s":254,"burst":25}]})";

const std::string targetText = R"({"service":"s1","address":"10.128.0.9:8080","zone":"cuyo-a","version":"v1","slots":9,
  "state":"ready","cold_left":"1.5s","sequence":4,"born":1790254589050,"more":true})";

Outcome<TargetListEntry> target(const std::string &text)
{
    return capture([&] {
        return Platform::readTarget("i-1", text, now);
    });
}

std::string changed(const std::string &from, const std::string &to)
{
    std::string text = targetText;
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("The operators' configuration is read into rules, without a route that can't be read")
{
    // Guards against a field that is read as another one, and against one invalid entry that makes all others unusable.
    const Outcome<RefPointer<const ServingRules>> rules = capture([] {
        return Platform::readRules(rulesText);
    });
    REQUIRE(rules);
    const ServingRules &read = *rules.value();
    CHECK(read.version() == ConfigurationVersion(12));
    REQUIRE(read.routes().size() == 2);
    const Route &first = read.routes().front();
    CHECK(first.isIdempotent);
    CHECK(first.timeout == Milliseconds(1'200));
    CHECK(first.targetLatency == Milliseconds(400));
    CHECK(first.services.size() == 2);
    CHECK(first.services.back().weight == 10);
    CHECK(first.mostAttempts == 2);
    CHECK(first.hasObjectAffinity);
    CHECK(first.allowedRegions == std::vector { RegionId("cuyo") });
    const Route &second = read.routes().back();
    CHECK(!second.isIdempotent);
    CHECK(second.mostAttempts == 1);
    CHECK(!second.isOpenToAll);
    CHECK(read.findService(ServiceId("s1"))->coldRequestsPerSecond == 9.5);
    CHECK(read.limits().bodyBytes == 1'000);
    REQUIRE(read.findCustomer("k2") != nullptr);
    CHECK(read.findCustomer("k2")->ratePerSecond == 254);
    CHECK(read.findCustomer("k2")->burst == 25);
}

TEST_CASE("Rules tell which requests may belong to an entry that can't be read")
{
    // Guards against proper requests that are refused as wrong, or run elsewhere, because their entry can't be read.
    const auto readWith = [](const std::string &from, const std::string &to) {
        std::string text = rulesText;
        text.replace(text.find(from), from.size(), to);
        const Outcome<RefPointer<const ServingRules>> rules = capture([&] {
            return Platform::readRules(text);
        });
        REQUIRE(rules);
        return rules.value();
    };
    const std::string wider = R"({"name":"broken","host":"h.example","prefix":"/c/")";
    const RefPointer<const ServingRules> rules =
        readWith(wider,
                 R"({"name":"w","host":"h.example","prefix":"/","kind":"idempotent",
        "timeout":"1s","service":"s1"},)"
                     + wider);
    CHECK(rules->findRoute("h.example", "/c/1") == nullptr);
    CHECK(rules->isRouteUncertain("h.example", "/c/1"));
    CHECK(!rules->isRouteUncertain("h.example", "/d/1"));
    CHECK(rules->findRoute("h.example", "/d/1")->id == RouteId("w"));
    CHECK(readWith("\"h.example\",\"prefix\":\"/c/\"", "1")->isRouteUncertain("h.example", "/d/1"));
    for (const std::string tenant :
         { R"({"name":5,"api_keys":["k1"]})", R"({"name":"t1","api_keys":"k1"})",
           R"({"name":"t1","api_keys":["k2",7]})", R"({"name":"t1","api_keys":["k1"],"rate_per_s":"254"})",
           R"({"name":"t1","api_keys":["k1"],"home_regions":[7]})", R"("k1")" }) {
        CAPTURE(tenant);
        const RefPointer<const ServingRules> read =
            readWith(R"({"name":"t1","api_keys":["k1","k2"],"priority":1,"rate_per_s":254,"burst":25})", tenant);
        CHECK(read->areKeysRequired());
        CHECK(read->findCustomer("k1") == nullptr);
        CHECK(read->areKeysUncertain());
    }
    CHECK(!rules->areKeysUncertain());
    CHECK(readWith("\"public\":false", "\"public\":\"yes\"")->isRouteUncertain("h.example", "/a/1"));
    CHECK(!rules->limits().areSizesUnreadable);
    CHECK(readWith("16384", "\"16384\"")->limits().areSizesUnreadable);
    CHECK(readWith("\"max_body_bytes\":1000", "\"max_body_bytes\":-1")->limits().areSizesUnreadable);
}

TEST_CASE("An empty list of customers asks for a key, and no list doesn't")
{
    // Guards against services that the removal of the last key opens to everyone.
    const auto readWith = [](const std::string &tenants) {
        const Outcome<RefPointer<const ServingRules>> rules = capture([&] {
            return Platform::readRules(R"({"version":"0000000c","routes":[],"services":[])" + tenants + "}");
        });
        REQUIRE(rules);
        return rules.value();
    };
    CHECK(!readWith("")->areKeysRequired());
    CHECK(readWith(R"(,"tenants":[])")->areKeysRequired());
    CHECK(!readWith(R"(,"tenants":[])")->areKeysUncertain());
    // A list without a readable entry asks for a key, but can't tell which keys are wrong.
    CHECK(readWith(R"(,"tenants":[7])")->areKeysRequired());
    CHECK(readWith(R"(,"tenants":[7])")->areKeysUncertain());
}

TEST_CASE("A route or customer whose regions can't be read is not allowed everywhere")
{
    // Guards against requests that leave the regions to which the operator has bound them.
    std::string text = rulesText;
    text.replace(text.find("[\"cuyo\"]"), 8, "[7,8,9]");
    const Outcome<RefPointer<const ServingRules>> rules = capture([&] {
        return Platform::readRules(text);
    });
    REQUIRE(rules);
    CHECK(rules.value()->findRoute("h.example", "/a/1") == nullptr);
    CHECK(rules.value()->isRouteUncertain("h.example", "/a/1"));
}

TEST_CASE("Text that is not a configuration is rejected")
{
    // Guards against rules that are read in part.
    CHECK(!capture([] {
        return Platform::readRules("{\"version\":\"0000000c\",\"routes\":[],");
    }));
    CHECK(!capture([] {
        return Platform::readRules("{\"version\":12,\"routes\":[],\"services\":[]}");
    }));
    CHECK(!capture([] {
        return Platform::readRules("{\"version\":\"0000000c\",\"services\":[]}");
    }));
    CHECK(!capture([] {
        return Platform::readRules("{\"version\":\"0000000c\",\"routes\":[],\"services\":[],\"tenants\":{}}");
    }));
}

TEST_CASE("A target's entry is read with all its fields")
{
    // Guards against a field that is read as another one.
    const Outcome<TargetListEntry> read = target(targetText);
    REQUIRE(read);
    CHECK(read.value().id == TargetId("i-1"));
    CHECK(read.value().service == ServiceId("s1"));
    CHECK(read.value().address.text() == "10.128.0.9:8080");
    CHECK(read.value().slots == 9);
    CHECK(!read.value().isDraining);
    CHECK(read.value().coldUntil == now + Milliseconds(1'500));
    CHECK(read.value().startedAtMilliseconds == 1790254589050);
    CHECK(read.value().sequence == 4);
    CHECK(target(changed("ready", "draining")).value().isDraining);
}

TEST_CASE("An entry with a missing or invalid member is rejected")
{
    // Other processes write the entries. Guards against requests to an invalid address or to a target in an unknown
    // state.
    CHECK(!target("not JSON"));
    CHECK(!target("[]"));
    CHECK(!target(changed("\"s1\"", "5")));
    CHECK(!target(changed("10.128.0.9:8080", "nowhere")));
    CHECK(!target(changed("\"slots\":9", "\"slots\":\"9\"")));
    CHECK(!target(changed("\"slots\":9", "\"slots\":0")));
    CHECK(!target(changed("ready", "resting")));
    CHECK(!target(changed("\"zone\":\"cuyo-a\",", "")));
}

TEST_CASE("A deeply nested entry is rejected")
{
    // Guards against a stack overflow in the parser, caused by an entry that another process wrote.
    constexpr std::size_t depth = 60'000;
    CHECK(!target(std::string(depth, '[')));
    CHECK(!target(R"({"service":)" + std::string(depth, '[')));
}

TEST_CASE("An entry with a number that no target can have is rejected")
{
    // Guards against a faulty entry whose number wraps round, overflows a time, or makes a region seem to have room for
    // all requests.
    for (const std::string slots :
         { "4294967297", "9223372036854775807", "18446744073709551615", "1e30", "1e999", "2147483647", "-1", "9.5" }) {
        CAPTURE(slots);
        CHECK(!target(changed("\"slots\":9", "\"slots\":" + slots)));
    }
    for (const std::string time : { "1e300s", "9223372036854775807ms", "1e18s", "-1s", "soon" }) {
        CAPTURE(time);
        CHECK(!target(changed("1.5s", time)));
    }
    CHECK(!target(changed("\"sequence\":4", "\"sequence\":-4")));
    CHECK(!target(changed("\"sequence\":4", "\"sequence\":1e25")));
    CHECK(!target(changed("1790254589050", "1e40")));
    CHECK(target(changed("\"sequence\":4,", "")));
}

TEST_CASE("A target's address with a leading zero is rejected")
{
    // Guards against an address that one reader takes as decimal and another one as octal or as a host name.
    for (const char *address :
         { "10.128.0.08:8080", "10.128.0.010:8080", "010.128.0.9:8080", "10.128.00.9:8080", "10.128.0.9:08080" }) {
        CAPTURE(address);
        CHECK(!target(changed("10.128.0.9:8080", address)));
    }
    CHECK(target(changed("10.128.0.9:8080", "10.0.0.9:8080")));
}

TEST_CASE("A target's address must be an IPv4 address and a port")
{
    // Guards against a host name whose resolution holds up the reading of all targets, and against an invalid port.
    CHECK(target(targetText));
    for (const char *address :
         { "targets.example:8080", "10.128.0.9", "10.128.0.9:0", "10.128.0.9:99999", "10.128.0.9:80x", "[::1]:8080",
           ":8080", "10.128.0.9:-80", "10.128.0.9:65536", "10.128.0.256:80", "10.128.-0.9:80", "10.128.9:80", "" }) {
        CAPTURE(address);
        CHECK(!target(changed("10.128.0.9:8080", address)));
    }
}
