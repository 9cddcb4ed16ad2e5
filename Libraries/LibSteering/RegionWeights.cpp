#include <LibSteering/RegionWeights.h>

#include <algorithm>

namespace Sapphire {

namespace {

constexpr double tiny = 1e-9;

} // namespace

RegionWeights::RegionWeights(RegionId own, RegionWeightsSettings settings) : m_own(std::move(own)), m_settings(settings)
{
}

std::map<RegionId, RegionLoad> RegionWeights::withAssumedDemand(std::map<RegionId, RegionLoad> regions) const
{
    double slots = 0;
    double demand = 0;
    for (const auto &[region, state] : regions) {
        slots += state.slots;
        demand += state.demand;
    }
    if (demand < slots * m_settings.leastUse) {
        for (auto &[region, state] : regions) {
            state.demand = slots * m_settings.assumedUse / static_cast<double>(regions.size());
        }
    }
    return regions;
}

std::map<RegionId, double> RegionWeights::wanted(const std::map<RegionId, RegionLoad> &known) const
{
    const std::map<RegionId, RegionLoad> regions = withAssumedDemand(known);
    double slots = 0;
    double demand = 0;
    for (const auto &[region, state] : regions) {
        slots += state.slots;
        demand += state.demand;
    }
    // The use of slots at which all regions would be equally busy.
    const double evenUse = slots > 0 ? demand / slots : 0;
    const double use = std::max(evenUse, m_settings.localUse);
    std::map<RegionId, double> spare;
    double spareSum = 0;
    for (const auto &[region, state] : regions) {
        const double room = std::max(0.0, state.slots * use - state.demand);
        spare[region] = region == m_own ? 0 : room;
        spareSum += spare[region];
    }
    const auto own = regions.find(m_own);
    const RegionLoad ownState = own == regions.end() ? RegionLoad {} : own->second;
    double local = ownState.demand > 0 ? std::min(1.0, ownState.slots * use / ownState.demand) : 1;
    if (ownState.slots <= 0) {
        local = 0;
    } else if (spareSum < tiny) {
        local = 1;
    }
    std::map<RegionId, double> shares;
    shares[m_own] = local;
    for (const auto &[region, state] : regions) {
        if (region == m_own) {
            continue;
        }
        const double part =
            spareSum >= tiny ? spare[region] / spareSum : state.slots / std::max(tiny, slots - ownState.slots);
        shares[region] = (1 - local) * part;
    }
    return shares;
}

void RegionWeights::adjust(const std::map<RegionId, RegionLoad> &regions, TimePoint now)
{
    const std::map<RegionId, double> goal = wanted(regions);
    if (m_shares.empty()) {
        m_shares = goal;
        m_adjustedAt = now;
        return;
    }
    const double seconds = std::chrono::duration<double>(now - m_adjustedAt).count();
    m_adjustedAt = now;
    moveTowards(goal, std::clamp(seconds, 0.0, 1.0) * m_settings.movePerSecond);
    for (auto &[region, share] : m_shares) {
        const auto state = regions.find(region);
        if (state == regions.end() || state->second.slots <= 0) {
            share = 0;
        }
    }
    double sum = 0;
    for (const auto &[region, share] : m_shares) {
        sum += share;
    }
    if (sum < tiny) {
        m_shares = goal;
        return;
    }
    for (auto &[region, share] : m_shares) {
        share /= sum;
    }
}

void RegionWeights::moveTowards(const std::map<RegionId, double> &wanted, double most)
{
    double moved = 0;
    for (const auto &[region, goal] : wanted) {
        moved += std::max(0.0, goal - share(region));
    }
    const double part = moved > most ? most / moved : 1;
    for (const auto &[region, goal] : wanted) {
        double &current = m_shares[region];
        current += (goal - current) * part;
    }
}

RegionId RegionWeights::choose(double position, const std::function<bool(const RegionId &)> &isAllowed) const
{
    std::vector<std::pair<RegionId, double>> allowed;
    double sum = 0;
    for (const auto &[region, share] : m_shares) {
        if (isAllowed(region)) {
            allowed.emplace_back(region, share);
            sum += share;
        }
    }
    // The own region first, so that its objects are the same however the others divide the rest.
    std::stable_partition(allowed.begin(), allowed.end(), [this](const auto &entry) {
        return entry.first == m_own;
    });
    if (allowed.empty()) {
        return {};
    }
    double rest = position * sum;
    for (const auto &[region, share] : allowed) {
        if (rest < share) {
            return region;
        }
        rest -= share;
    }
    return allowed.front().first;
}

double RegionWeights::share(const RegionId &region) const
{
    const auto found = m_shares.find(region);
    return found == m_shares.end() ? 0 : found->second;
}

} // namespace Sapphire
