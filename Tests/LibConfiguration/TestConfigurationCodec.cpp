#include "Commands.h"

#include <LibConfiguration/ConfigurationCodec.h>

#include <doctest/doctest.h>

using namespace Sapphire;

TEST_CASE("a configuration survives encoding and decoding")
{
    // Guards against a snapshot that loses withdrawals, retirements, last changes or command ids.
    Configuration configuration = Commands::initialConfiguration();
    configuration = Commands::apply(configuration, Commands::withdrawal("w", "k1")).value();
    configuration =
        Commands::apply(configuration, Commands::make("r", RetireVm { { VmId("v"), Incarnation(7) } })).value();
    configuration = Commands::apply(configuration, Commands::make("t", SetTarget { Commands::target("gone") })).value();
    configuration = Commands::apply(configuration, Commands::make("u", RemoveTarget { TargetId("gone") })).value();
    const std::string text = ConfigurationCodec::encode(configuration);
    const Outcome<Configuration> decoded = capture([&] {
        return ConfigurationCodec::decode(text);
    });
    REQUIRE_MESSAGE(decoded, decoded.error().message);
    const Configuration &copy = decoded.value();
    CHECK(copy.version == ConfigurationVersion(5));
    CHECK(copy.keys.at(KeyId("k1")).isWithdrawn);
    CHECK_FALSE(copy.keys.at(KeyId("k2")).isWithdrawn);
    CHECK(copy.isRetired({ VmId("v"), Incarnation(7) }));
    CHECK(copy.removedTargets.contains(TargetId("gone")));
    CHECK(copy.regions.at(RegionId("cuyo")).fallbacks.size() == 2);
    CHECK(copy.clientBlocks.at("10.1.0.0/16").lastChange.changedBy == OperatorId("ana"));
    CHECK(versionOfCommand(copy, CommandId("w")) == ConfigurationVersion(2));
    CHECK(ConfigurationCodec::encode(copy) == text);
}

TEST_CASE("ConfigurationCodec rejects damaged snapshots")
{
    // Guards against a VM that starts from a part of a configuration.
    const std::string text = ConfigurationCodec::encode(Commands::initialConfiguration());
    const auto isAccepted = [](const std::string &damaged) {
        return static_cast<bool>(capture([&] {
            return ConfigurationCodec::decode(damaged);
        }));
    };
    REQUIRE(isAccepted(text));
    CHECK_FALSE(isAccepted(text.substr(0, text.size() / 2)));
    CHECK_FALSE(isAccepted("{}"));
    std::string renamed = text;
    renamed.replace(renamed.find("\"keys\""), 6, "\"kays\"");
    CHECK_FALSE(isAccepted(renamed));
    std::string invalidPrefix = text;
    invalidPrefix.replace(invalidPrefix.find("10.1.0.0"), 8, "10.1 0.0");
    CHECK_FALSE(isAccepted(invalidPrefix));
}
