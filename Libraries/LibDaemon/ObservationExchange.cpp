#include <LibDaemon/ObservationExchange.h>

namespace Sapphire {

namespace {

// The reported usage of a region is dropped after this time; the region then counts as having no free slots.
constexpr Milliseconds usageLifetime { 10'000 };

} // namespace

ObservationExchange::ObservationExchange(ServiceTargets &targets, RegionId ownRegion)
    : m_targets(targets), m_ownRegion(std::move(ownRegion))
{
}

void ObservationExchange::connect(RegionRouter &router)
{
    m_router = &router;
}

std::vector<TargetReport> ObservationExchange::reports(TimePoint) const
{
    return m_targets.reports();
}

void ObservationExchange::takeReport(const TargetReport &report, TimePoint)
{
    m_targets.takeReport(report);
}

std::vector<RegionUsage> ObservationExchange::regionUsages(TimePoint now) const
{
    std::vector<RegionUsage> result = m_targets.regionUsages();
    const std::lock_guard guard(m_mutex);
    for (RegionUsage &usage : result) {
        const auto average = m_ownAverages.find(usage.service);
        if (average != m_ownAverages.end()) {
            usage = average->second.smoothed(usage);
        }
    }
    addReportedUsages(result, now);
    return result;
}

std::vector<RegionUsage> ObservationExchange::currentUsages(TimePoint now)
{
    std::vector<RegionUsage> result = m_targets.regionUsages();
    const std::lock_guard guard(m_mutex);
    for (const RegionUsage &usage : result) {
        m_ownAverages[usage.service].note(usage);
    }
    addReportedUsages(result, now);
    return result;
}

void ObservationExchange::addReportedUsages(std::vector<RegionUsage> &usages, TimePoint now) const
{
    for (const auto &[key, usage] : m_reportedUsages) {
        if (now - usage.statedAt <= usageLifetime) {
            usages.push_back(usage);
        }
    }
}

void ObservationExchange::takeUsage(const RegionUsage &usage, TimePoint)
{
    if (usage.region == m_ownRegion) {
        return;
    }
    const std::lock_guard guard(m_mutex);
    RegionUsage &held = m_reportedUsages[{ usage.region, usage.service }];
    if (usage.statedAt > held.statedAt) {
        held = usage;
    }
}

std::vector<CrashSuspect> ObservationExchange::suspects(TimePoint) const
{
    return m_router->suspectsSeenAfter(TimePoint());
}

void ObservationExchange::takeSuspect(const CrashSuspect &suspect, TimePoint)
{
    m_router->mergeSuspect(suspect);
}

} // namespace Sapphire
