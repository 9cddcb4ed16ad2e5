#include <LibConfiguration/InForceTracker.h>

#include <algorithm>
#include <limits>

namespace Sapphire {

namespace {

constexpr ConfigurationVersion newestVersion { std::numeric_limits<std::uint64_t>::max() };

/// Returns the size of the smallest majority that a VM with at least the given version may compute. Regions are never
/// removed, so a VM with an older version knows fewer of them.
std::size_t smallestMajority(const std::map<RegionId, RegionRecord> &regions, ConfigurationVersion lowest)
{
    if (regions.empty()) {
        return 1;
    }
    const auto first = std::min_element(regions.begin(), regions.end(), [](const auto &left, const auto &right) {
        return left.second.addedIn < right.second.addedIn;
    });
    const ConfigurationVersion since = std::max(lowest, first->second.addedIn);
    const auto count = std::count_if(regions.begin(), regions.end(), [since](const auto &region) {
        return region.second.addedIn <= since;
    });
    return majorityOf(static_cast<std::size_t>(count));
}

} // namespace

void InForceTracker::observe(const std::vector<RosterVm> &vms, TimePoint now)
{
    std::map<VmIncarnation, TrackedProcess> seen;
    for (const RosterVm &vm : vms) {
        const auto known = m_processes.find(vm.process);
        const ConfigurationVersion before =
            known == m_processes.end() ? ConfigurationVersion() : known->second.confirmed;
        const ConfigurationVersion confirmed = std::max(before, vm.confirmedVersion);
        recordAdvance(before, confirmed, now);
        seen[vm.process] = TrackedProcess { vm.locality.region, confirmed };
    }
    for (const auto &[process, tracked] : m_processes) {
        if (!seen.contains(process)) {
            // It may have made its last statement right before it disappeared.
            recordAdvance(tracked.confirmed, newestVersion, now);
        }
    }
    m_processes = std::move(seen);
    while (!m_advances.empty() && m_advances.front().at + inForceWait <= now) {
        m_advances.pop_front();
    }
}

InForceStatus InForceTracker::status(ConfigurationVersion version, const std::map<RegionId, RegionRecord> &regions,
                                     TimePoint now)
{
    InForceStatus status;
    std::set<RegionId> unconfirmedRegions;
    ConfigurationVersion lowest = version;
    for (const auto &[process, tracked] : m_processes) {
        if (tracked.confirmed < version) {
            status.unconfirmed.push_back(process.vm);
            unconfirmedRegions.insert(tracked.region);
            lowest = std::min(lowest, tracked.confirmed);
        }
    }
    const bool isOldMajorityImpossible =
        !m_processes.empty() && unconfirmedRegions.size() < smallestMajority(regions, lowest);
    if (isOldMajorityImpossible && isWaitOver(version, now)) {
        m_inForce = std::max(m_inForce, version);
    }
    status.isInForce = version <= m_inForce;
    return status;
}

void InForceTracker::recordAdvance(ConfigurationVersion from, ConfigurationVersion upTo, TimePoint now)
{
    if (from < upTo) {
        m_advances.push_back(VersionAdvance { from, upTo, now });
    }
}

bool InForceTracker::isWaitOver(ConfigurationVersion version, TimePoint now) const
{
    return std::none_of(m_advances.begin(), m_advances.end(), [version, now](const VersionAdvance &advance) {
        return advance.from < version && version <= advance.upTo && advance.at + inForceWait > now;
    });
}

} // namespace Sapphire
