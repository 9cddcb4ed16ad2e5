#pragma once

#include <Deployment/Deployment.h>

#include <memory>

namespace Sapphire {

/// The size of a deployment in three regions with four availability zones in all.
struct FleetShape
{
    int vms { 12 }; ///< A multiple of four.
    int targetsPerZone { 2 }; ///< All of the same service.
    int customers { 8 };

    int targets() const
    {
        constexpr int zones = 4;
        return targetsPerZone * zones;
    }
};

/// The resources that a running fleet uses. Rates are per second; values of a VM are means over the VMs.
struct FleetCost
{
    double corePercent { 0 }; ///< Of a VM.
    double maxCorePercent { 0 }; ///< Of the busiest VM.
    double residentMegabytes { 0 }; ///< Of a VM.
    double fleetBytes { 0 }; ///< Sent and received by a VM in calls between zones.
    double storeBytes { 0 }; ///< Exchanged by a VM with the platform.
    double reads { 0 }; ///< Of all VMs at the platform.
    double writes { 0 }; ///< Of all VMs at the platform.
};

/// How long changes took from being sent to being in force, and what they cost.
struct ChangeCost
{
    FleetCost cost;
    double medianMilliseconds { 0 };
    double worstMilliseconds { 0 };
    int inForce { 0 };
    int others { 0 }; ///< Changes with another outcome.
};

/// What look-ups cost the VM that answers them.
struct LookUpCost
{
    double corePercent { 0 };
    double perSecond { 0 }; ///< Look-ups that were answered.
    double medianMilliseconds { 0 };
    double ninetyNinthMilliseconds { 0 };
    int failed { 0 };
    std::string lastFailure {}; ///< Empty if none failed.
};

/// What the restart of a VM costs.
struct StartCost
{
    double reads { 0 }; ///< At the platform, beyond those of the other VMs.
    double writes { 0 };
    double milliseconds { 0 }; ///< Until the VM serves.
};

/// Runs a deployment of daemons on stand-ins, without network delays, and measures what it costs.
class RunningFleet
{
public:
    [[nodiscard]] static Result<std::unique_ptr<RunningFleet>> create(const FleetShape &shape);

    /// Measures the fleet without requests and changes.
    [[nodiscard]] Result<FleetCost> rest(Milliseconds interval);
    /// Measures the fleet while customers are changed through different VMs in turn.
    [[nodiscard]] Result<ChangeCost> change(double changesPerSecond, Milliseconds interval);
    /// Sends look-ups to the first VM, each on a new connection.
    [[nodiscard]] Result<LookUpCost> lookUp(double lookUpsPerSecond, Milliseconds interval);
    /// Kills the last VM and measures what it costs to start it again. The reads and writes of the other VMs meanwhile
    /// are subtracted; they are estimated from `resting`, the cost of the fleet at rest.
    [[nodiscard]] Result<StartCost> restart(const FleetCost &resting);

private:
    struct Sample;

    RunningFleet() = default;

    [[nodiscard]] Result<Sample> sample();
    Outcome<std::string> sendChange(int number, std::size_t vm) const;
    static FleetCost costBetween(const Sample &before, const Sample &after);

    std::unique_ptr<Deployment> m_deployment;
    FleetShape m_shape;
    int m_nextChange { 0 };
};

} // namespace Sapphire
