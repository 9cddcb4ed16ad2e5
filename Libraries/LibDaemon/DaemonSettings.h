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
    Locality locality;
    std::string address; ///< IP address of all endpoints.
    std::uint16_t callerPort { 0 };
    std::uint16_t fleetPort { 0 };
    std::uint16_t operatorPort { 0 };
    std::string operatorToken;
    std::string platformAddress; ///< "ip:port".
    /// VMs to contact at the start if the platform's VM list can't be read. Some of them may no longer exist.
    std::vector<ListedVm> seedVms;
    /// Address to use instead of another VM's fleet address, where addresses are translated between regions.
    std::map<std::string, std::string> addressMap;
    EventLogSettings log;
    std::string traceFile; ///< Empty for no traces.
    Milliseconds lookUpTimeToLive { 5'000 };
    int mostConnections { 1'000 };
    Milliseconds headTimeout { 20'000 };
    std::uint64_t mostBodyBytes { 64ULL << 20U };
    /// Time for which a leaving VM continues to serve callers with cached look-ups.
    Milliseconds lingerTime { 6'000 };
    /// Time after the stop signal at which requests that are still running are cut.
    Milliseconds stopTimeout { 60'000 };
    SlotPolicy slotPolicy { SlotPolicy::Optimistic };
    LimitSettings limits;

    /// Fails with InvalidArgument and a line for each fault.
    [[nodiscard]] static Result<DaemonSettings> parse(const std::string &text);
    /// Fails with NotFound if the file can't be read, else like parse().
    [[nodiscard]] static Result<DaemonSettings> load(const std::string &file);
};

} // namespace Sapphire
