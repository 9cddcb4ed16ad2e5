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
    Microseconds connectionCost { 1'000 }; ///< Added to the first request of a connection.
    double coldFactor { 1 }; ///< By which a cold target is slower; falls to 1 during coldTime.
    Microseconds coldTime { 0 };
    Microseconds idleTime { 0 }; ///< Without requests for so long, the target is cold again; 0 for never.
};

/// Settings of the stand-in program, a JSON object.
struct StandInSettings
{
    std::string controlAddress { "127.0.0.1:0" };
    std::vector<std::string> secrets; ///< Texts that must never reach a target.
    std::vector<StandInTargetSettings> targets;

    /// Fails with InvalidArgument and every fault found.
    [[nodiscard]] static Result<StandInSettings> parse(const std::string &text);
};

} // namespace Sapphire
