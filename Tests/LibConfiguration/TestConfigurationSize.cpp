#include "Commands.h"

#include <LibConfiguration/ConfigurationCodec.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>

using namespace Sapphire;

namespace {

// Under sanitizers the times aren't meaningful, and the full size takes 20 s.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int blockCount = 2'000;
#else
constexpr int blockCount = 160'000;
#endif
constexpr int targetCount = 220;

/// Returns a configuration of the size expected in two years.
Configuration largeConfiguration()
{
    Configuration configuration = Commands::initialConfiguration();
    std::vector<std::pair<std::string, ClientBlockRecord>> blocks;
    for (int i = 0; i < blockCount; ++i) {
        const std::string prefix = std::to_string(11 + i / 65536) + "." + std::to_string(i / 256 % 256) + "."
            + std::to_string(i % 256) + ".0/24";
        blocks.emplace_back(prefix, ClientBlockRecord { prefix, RegionId("cuyo"), { ConfigurationVersion(1), {} } });
        blocks.back().second.lastChange.changedBy = OperatorId("ana");
    }
    configuration.clientBlocks = CopyOnWriteMap<std::string, ClientBlockRecord>(std::move(blocks));
    for (int i = 0; i < targetCount; ++i) {
        TargetRecord target = Commands::target("target-" + std::to_string(i));
        target.lastChange = { ConfigurationVersion(1), OperatorId("ana") };
        configuration.targets[target.id] = target;
    }
    return configuration;
}

template<typename Operation>
Microseconds durationOf(Operation operation)
{
    const auto begin = std::chrono::steady_clock::now();
    operation();
    return std::chrono::duration_cast<Microseconds>(std::chrono::steady_clock::now() - begin);
}

} // namespace

TEST_CASE("a change of a large configuration costs milliseconds at most")
{
    // Guards against a copy of all client blocks for each change, which takes tens of milliseconds.
    Configuration configuration = largeConfiguration();
    std::vector<Microseconds> ofBlocks;
    std::vector<Microseconds> ofTargets;
    for (int i = 0; i < 100; ++i) {
        const std::string id = std::to_string(i);
        const std::string prefix = "11.0." + id + ".0/24";
        const Command block = Commands::make("b" + id, SetClientBlock { prefix, RegionId("pampa") });
        const Command drain = Commands::make("t" + id, DrainTarget { TargetId("target-" + id) });
        ofBlocks.push_back(durationOf([&] {
            configuration = Commands::apply(configuration, block).value();
        }));
        ofTargets.push_back(durationOf([&] {
            configuration = Commands::apply(configuration, drain).value();
        }));
    }
    std::sort(ofBlocks.begin(), ofBlocks.end());
    std::sort(ofTargets.begin(), ofTargets.end());
    MESSAGE("median and longest change of a client block in µs: ", ofBlocks[50].count(), " ", ofBlocks.back().count());
    MESSAGE("median and longest drain of a target in µs: ", ofTargets[50].count(), " ", ofTargets.back().count());
    CHECK(ofBlocks[50] < Microseconds(5'000));
    CHECK(ofTargets[50] < Microseconds(5'000));
    CHECK(configuration.clientBlocks.size() == blockCount);
}

TEST_CASE("a large snapshot survives encoding and decoding")
{
    // Guards against a snapshot that takes a starting VM longer than a store call may last.
    const Configuration configuration = largeConfiguration();
    std::string text;
    const Microseconds encoding = durationOf([&] {
        text = ConfigurationCodec::encode(configuration);
    });
    const auto decode = [&text] {
        return ConfigurationCodec::decode(text);
    };
    std::optional<Outcome<Configuration>> decoded;
    const Microseconds decoding = durationOf([&] {
        decoded = capture(decode);
    });
    REQUIRE(*decoded);
    MESSAGE("snapshot of ", text.size(), " bytes: encoded in ms: ", encoding.count() / 1000,
            ", decoded in ms: ", decoding.count() / 1000);
    CHECK(decoded->value().clientBlocks.size() == blockCount);
}
