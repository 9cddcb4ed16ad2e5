#include <LibConfiguration/ForceTracker.h>

#include <algorithm>
#include <limits>

namespace Sapphire {

namespace {

constexpr ConfigurationVersion newestVersion { std::numeric_limits<std::uint64_t>::max() };

/// Returns the smallest majority that a VM with at least the given version may count. Regions are only ever added, so a
/// VM with an older version counts fewer.
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

void ForceTracker::observe(const std::vector<RosterVm> &vms, TimePoint now)
{
    std::map<VmIncarnation, Watched> seen;
    for (const RosterVm &vm : vms) {
        const auto known = m_watched.find(vm.process);
        const ConfigurationVersion before = known == m_watched.end() ? ConfigurationVersion() : known->second.confirmed;
        const ConfigurationVersion confirmed = std::max(before, vm.confirmedVersion);
        addStep(before, confirmed, now);
        seen[vm.process] = Watched { vm.place.region, confirmed };
    }
    for (const auto &[process, watched] : m_watched) {
        if (!seen.contains(process)) {
            // Its last statement may be as young as its disappearance.
            addStep(watched.confirmed, newestVersion, now);
        }
    }
    m_watched = std::move(seen);
    while (!m_steps.empty() && m_steps.front().at + forceWait <= now) {
        m_steps.pop_front();
    }
}

InForceStatus ForceTracker::status(ConfigurationVersion version, const std::map<RegionId, RegionRecord> &regions,
                                   TimePoint now)
{
    InForceStatus status;
    std::set<RegionId> spanned;
    ConfigurationVersion lowest = version;
    for (const auto &[process, watched] : m_watched) {
        if (watched.confirmed < version) {
            status.unconfirmed.push_back(process.vm);
            spanned.insert(watched.region);
            lowest = std::min(lowest, watched.confirmed);
        }
    }
    const bool isHeldByMajority = !m_watched.empty() && spanned.size() < smallestMajority(regions, lowest);
    if (isHeldByMajority && isWaitOver(version, now)) {
        m_inForce = std::max(m_inForce, version);
    }
    status.isInForce = version <= m_inForce;
    return status;
}

void ForceTracker::addStep(ConfigurationVersion from, ConfigurationVersion upTo, TimePoint now)
{
    if (from < upTo) {
        m_steps.push_back(Step { from, upTo, now });
    }
}

bool ForceTracker::isWaitOver(ConfigurationVersion version, TimePoint now) const
{
    return std::none_of(m_steps.begin(), m_steps.end(), [version, now](const Step &step) {
        return step.from < version && version <= step.upTo && step.at + forceWait > now;
    });
}

} // namespace Sapphire
