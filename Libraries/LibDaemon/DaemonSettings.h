#pragma once

#include <LibCaller/CallerServer.h>
#include <LibCore/EventLog.h>
#include <LibCore/SettingsReader.h>
#include <LibLimit/LimitSettings.h>
#include <LibPlatform/VmDirectory.h>
#include <LibSteering/TargetSelector.h>

#include <map>

namespace Sapphire {

/// The settings of one daemon, as read from its JSON file.
struct DaemonSettings
{
    VmId vm;
    Locality place;
    std::string address; ///< IP number of all endpoints.
    std::uint16_t callerPort { 0 };
    std::uint16_t fleetPort { 0 };
    std::uint16_t operatorPort { 0 };
    std::string operatorToken;
    std::string platformAddress; ///< "ip:port".
    /// VMs to turn to at a start while the platform's list can't be read. Some of them may be gone.
    std::vector<ListedVm> seedVms;
    /// Address to use instead of another VM's fleet address, where addresses are translated between regions.
    std::map<std::string, std::string> addressMap;
    EventLogSettings log;
    std::string traceFile; ///< Empty for no traces.
    Milliseconds lookUpTimeToLive { 5'000 };
    int mostConnections { 1'000 };
    Milliseconds headTimeout { 20'000 };
    std::uint64_t mostBodyBytes { 64ULL << 20U };
    /// Time that a leaving VM goes on serving callers with cached look-ups.
    Milliseconds lingerTime { 6'000 };
    /// Time from the stop signal after which requests that still run are cut.
    Milliseconds stopTimeout { 60'000 };
    SlotPolicy slotPolicy { SlotPolicy::Optimistic };
    LimitSettings limits;

    /// Fails with InvalidArgument and a line for each fault.
    [[nodiscard]] static Result<DaemonSettings> parse(const std::string &text);
    /// Fails with NotFound if the file can't be read, else like parse().
    [[nodiscard]] static Result<DaemonSettings> load(const std::string &file);
};

} // namespace Sapphire
