#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Result.h>

#include <string>
#include <vector>

namespace Sapphire {

struct StandInTargetSettings
{
    std::string id;
    std::string service;
    std::string address; ///< "ip:port"; port 0 takes a free one.
    int slots { 4 };
    int connectionLimit { 800 }; ///< Connections beyond it are reset.
    Microseconds serviceTime { 20'000 };
    Microseconds connectionCost { 1'000 }; ///< Added to the service time of a connection's first request.
    double coldFactor { 1 }; ///< Multiplies a cold target's service time; falls linearly to 1 during coldTime.
    Microseconds coldTime { 0 };
    Microseconds idleTime { 0 }; ///< After this time without requests the target is cold again; 0 for never.
};

/// Settings of target-stand-in, a JSON object.
struct StandInSettings
{
    std::string controlAddress { "127.0.0.1:0" };
    std::vector<std::string> secrets; ///< Texts that must never reach a target.
    std::vector<StandInTargetSettings> targets;

    /// Fails with InvalidArgument and all errors found.
    [[nodiscard]] static Result<StandInSettings> parse(const std::string &text);
};

} // namespace Sapphire
