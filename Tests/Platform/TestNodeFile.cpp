#include <platform/NodeFile.h>
#include <platform/WireFormat.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

const std::string settingsText = R"({
  "node": "edge-cuyo-a-1", "role": "entry", "machine_class": "edge", "ip": "10.1.0.8",
  "zone": "cuyo-a", "region": "cuyo", "zones": {"cuyo-a": "cuyo", "pampa-a": "pampa"},
  "listen": {"front": "10.1.0.8:8206", "ready": "10.1.0.8:8201", "directory": "10.1.0.8:8209"},
  "port_range": [7600, 7615], "future": {"field": 1},
  "bounds": {"grace": "6s", "budget_ratio": 0.2, "budget_window": "10s", "budget_slack": 133,
             "quota_window": "5s", "config_deadline": "3s", "quota_overage": 0.1, "quota_slack": 20, "cold_overage": 1.5, "cold_slack": 5,
             "ttl_max": "2.5s"},
  "platform": {"address": "10.200.1.7:8205", "form": "table"}
})";

std::string replaced(const std::string &from, const std::string &to)
{
    std::string text = settingsText;
    const std::size_t position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

std::string faultsOf(const std::string &text)
{
    const Outcome<EntrySettings> settings = capture([&] {
        return Platform::readNodeFile(text);
    });
    REQUIRE(!settings);
    return settings.error().message;
}

} // namespace

TEST_CASE("The platform's settings file is read into the entry settings")
{
    // Guards against a bound or an address that is read from the wrong member.
    const Outcome<EntrySettings> outcome = capture([] {
        return Platform::readNodeFile(settingsText);
    });
    REQUIRE(outcome);
    const EntrySettings &settings = outcome.value();
    CHECK(settings.gateway.vm == VmId("edge-cuyo-a-1"));
    CHECK(settings.gateway.locality == Locality { RegionId("cuyo"), AvailabilityZoneId("cuyo-a") });
    CHECK(settings.gateway.regionsByZone.at(AvailabilityZoneId("pampa-a")) == RegionId("pampa"));
    CHECK(settings.gateway.callerAddress.text() == "10.1.0.8:8206");
    CHECK(settings.readinessAddress->text() == "10.1.0.8:8201");
    CHECK(settings.lookUpAddress->text() == "10.1.0.8:8209");
    CHECK(settings.peerAddress.text() == "10.1.0.8:7600");
    CHECK(settings.metricsAddress->text() == "10.1.0.8:9464");
    CHECK(settings.platformAddress.text() == "10.200.1.7:8205");
    CHECK(settings.gateway.stopTimeout == Milliseconds(6'000));
    CHECK(settings.gateway.retryBudget.slack == 133);
    CHECK(settings.gateway.retryBudget.window == Milliseconds(10'000));
    CHECK(settings.gateway.quota.window == Milliseconds(5'000));
    CHECK(settings.gateway.rulesPropagationTime == Milliseconds(3'000));
    CHECK(settings.gateway.quota.overage == doctest::Approx(0.1));
    CHECK(settings.gateway.coldStart.slack == 5);
    CHECK(settings.longestLookUpTimeToLive == Milliseconds(2'500));
}

TEST_CASE("The rate of a VM's link is read from the limits")
{
    // Guards against documents that are sent faster than a small VM's link takes them.
    const auto linkRateOf = [](const std::string &text) {
        const Outcome<EntrySettings> settings = capture([&] {
            return Platform::readNodeFile(text);
        });
        REQUIRE(settings);
        return settings.value().linkRate;
    };
    CHECK(linkRateOf(replaced("\"role\"", "\"limits\": {\"link_mbps\": 200.0}, \"role\""))
          == BytesPerSecond(25'000'000));
    CHECK(linkRateOf(settingsText) == BytesPerSecond(1'250'000));
}

TEST_CASE("Each invalid member of the settings file is reported with its value and what was expected")
{
    // Guards against a process that starts with incomplete settings, and against an error that doesn't name the member.
    CHECK(faultsOf("nonsense").find("JSON") != std::string::npos);
    CHECK(faultsOf(replaced("\"edge-cuyo-a-1\"", "7")).find("node") != std::string::npos);
    CHECK(faultsOf(replaced("10.1.0.8:8206", "somewhere")).find("somewhere") != std::string::npos);
    CHECK(faultsOf(replaced("\"6s\"", "\"6 hours\"")).find("6 hours") != std::string::npos);
    CHECK(faultsOf(replaced("10.1.0.8:8206", "10.1.0.08:8206")).find("listen.front") != std::string::npos);
    CHECK(faultsOf(replaced("10.1.0.8:8206", "host.example:8206")).find("listen.front") != std::string::npos);
    CHECK(faultsOf(replaced("\"ip\": \"10.1.0.8\"", "\"ip\": \"10.1.0.08\"")).find("ip") != std::string::npos);
    CHECK(faultsOf(replaced("[7600, 7615]", "[76000, 76015]")).find("port_range") != std::string::npos);
    const std::string missing = faultsOf(replaced("\"front\": \"10.1.0.8:8206\", ", ""));
    CHECK(missing.find("listen.front") != std::string::npos);
    const std::string two = faultsOf(replaced("\"6s\"", "\"6 hours\"").replace(5, 4, "nide"));
    CHECK(two.find("node") != std::string::npos);
    CHECK(two.find("6 hours") != std::string::npos);
}

TEST_CASE("Times and versions are accepted only in the form that messages have")
{
    // Guards against a time that is read in the wrong unit.
    CHECK(Platform::readTime("1500ms") == Milliseconds(1'500));
    CHECK(Platform::readTime("2.5s") == Milliseconds(2'500));
    CHECK(!Platform::readTime("2.5"));
    CHECK(!Platform::readTime("-1s"));
    CHECK(!Platform::readTime("1 s"));
    CHECK(!Platform::readTime("infs"));
    CHECK(Platform::readVersion("0000001c") == ConfigurationVersion(28));
    CHECK(!Platform::readVersion("1c"));
    CHECK(!Platform::readVersion("0000001g"));
    CHECK(Platform::readBase64(Platform::writeBase64(std::string("a\0b\xff", 4))) == std::string("a\0b\xff", 4));
}

TEST_CASE("Base64 of any length is decoded, and other texts are rejected")
{
    // Guards against rows that gain or lose bytes at their end.
    for (const std::string &bytes : { std::string(), std::string("a"), std::string("ab"), std::string("abc"),
                                      std::string("abcd"), std::string(1'000, '\0') }) {
        CHECK(Platform::readBase64(Platform::writeBase64(bytes)) == bytes);
    }
    CHECK(Platform::readBase64("YQ==") == "a");
    CHECK(!Platform::readBase64("YQ="));
    CHECK(!Platform::readBase64("Y*=="));
    CHECK(!Platform::readBase64("===="));
}
