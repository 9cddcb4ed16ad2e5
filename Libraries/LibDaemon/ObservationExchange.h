#pragma once

#include <LibCaller/RegionRouter.h>
#include <LibFleet/CrashSuspectExchange.h>
#include <LibFleet/TargetReportExchange.h>
#include <LibSteering/RegionUsageAverage.h>
#include <LibTarget/ServiceTargets.h>

#include <map>
#include <mutex>

namespace Sapphire {

/// Collects what this VM and others observed of targets, usage of regions and crash suspects, for the exchange between
/// VMs.
class ObservationExchange final : public TargetReportExchange, public CrashSuspectExchange
{
public:
    ObservationExchange(ServiceTargets &targets, RegionId ownRegion);
    /// Sets the router, which is constructed after this object.
    void connect(RegionRouter &router);

    /// Returns the current usage of the own region and the reported usages of the other regions. Each call adds a
    /// sample to the average that is sent to other VMs, so it has to be called about twice a second.
    std::vector<RegionUsage> currentUsages(TimePoint now);

    std::vector<TargetReport> reports(TimePoint now) const override;
    void takeReport(const TargetReport &report, TimePoint now) override;
    /// Returns the usages to send to other VMs. Those of the own region are averages.
    std::vector<RegionUsage> regionUsages(TimePoint now) const override;
    void takeUsage(const RegionUsage &usage, TimePoint now) override;
    std::vector<CrashSuspect> suspects(TimePoint now) const override;
    void takeSuspect(const CrashSuspect &suspect, TimePoint now) override;

private:
    /// The mutex must be held.
    void addReportedUsages(std::vector<RegionUsage> &usages, TimePoint now) const;

    ServiceTargets &m_targets;
    RegionId m_ownRegion;
    RegionRouter *m_router { nullptr };
    mutable std::mutex m_mutex;
    std::map<std::pair<RegionId, ServiceId>, RegionUsage> m_reportedUsages;
    std::map<ServiceId, RegionUsageAverage> m_ownAverages;
};

} // namespace Sapphire
