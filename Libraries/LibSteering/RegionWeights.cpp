#include <LibSteering/RegionWeights.h>

#include <algorithm>

namespace Sapphire {

namespace {

constexpr double tiny = 1e-9;

/// Slots and demand of all regions together.
struct LoadSum
{
    double slots { 0 };
    double demand { 0 };
};

LoadSum sumOf(const std::map<RegionId, RegionLoad> &regions)
{
    LoadSum sum;
    for (const auto &[region, load] : regions) {
        sum.slots += load.slots;
        sum.demand += load.demand + load.boundDemand;
    }
    return sum;
}

} // namespace

RegionWeights::RegionWeights(RegionId own, RegionWeightsSettings settings) : m_own(std::move(own)), m_settings(settings)
{
}

std::map<RegionId, RegionLoad> RegionWeights::withAssumedDemand(std::map<RegionId, RegionLoad> regions) const
{
    const LoadSum sum = sumOf(regions);
    if (sum.demand < sum.slots * m_settings.leastUtilization) {
        for (auto &[region, load] : regions) {
            load.demand = sum.slots * m_settings.assumedUtilization / static_cast<double>(regions.size());
        }
    }
    return regions;
}

std::map<RegionId, double> RegionWeights::wantedWeights(const std::map<RegionId, RegionLoad> &known) const
{
    const std::map<RegionId, RegionLoad> regions = withAssumedDemand(known);
    const LoadSum sum = sumOf(regions);
    // The utilization at which all regions would be equally busy.
    const double evenUtilization = sum.slots > 0 ? sum.demand / sum.slots : 0;
    const double utilization = std::max(evenUtilization, m_settings.localUtilization);
    std::map<RegionId, double> spare;
    double spareSum = 0;
    for (const auto &[region, load] : regions) {
        const double freeSlots = std::max(0.0, load.slots * utilization - load.boundDemand - load.demand);
        spare[region] = region == m_own ? 0 : freeSlots;
        spareSum += spare[region];
    }
    const auto own = regions.find(m_own);
    const RegionLoad ownLoad = own == regions.end() ? RegionLoad {} : own->second;
    const double ownCapacity = std::max(0.0, ownLoad.slots * utilization - ownLoad.boundDemand);
    double local = ownLoad.demand > 0 ? std::min(1.0, ownCapacity / ownLoad.demand) : 1;
    if (ownLoad.slots <= 0) {
        local = 0;
    } else if (spareSum < tiny) {
        local = 1;
    }
    std::map<RegionId, double> weights;
    weights[m_own] = local;
    for (const auto &[region, load] : regions) {
        if (region == m_own) {
            continue;
        }
        const double fraction =
            spareSum >= tiny ? spare[region] / spareSum : load.slots / std::max(tiny, sum.slots - ownLoad.slots);
        weights[region] = (1 - local) * fraction;
    }
    return weights;
}

void RegionWeights::adjust(const std::map<RegionId, RegionLoad> &regions, TimePoint now)
{
    const std::map<RegionId, double> goal = wantedWeights(regions);
    if (m_weights.empty()) {
        m_weights = goal;
        m_adjustedAt = now;
        return;
    }
    const double seconds = std::chrono::duration<double>(now - m_adjustedAt).count();
    m_adjustedAt = now;
    moveTowards(goal, std::clamp(seconds, 0.0, 1.0) * m_settings.shiftPerSecond);
    for (auto &[region, weight] : m_weights) {
        const auto load = regions.find(region);
        if (load == regions.end() || load->second.slots <= 0) {
            weight = 0;
        }
    }
    double sum = 0;
    for (const auto &[region, weight] : m_weights) {
        sum += weight;
    }
    if (sum < tiny) {
        m_weights = goal;
        return;
    }
    for (auto &[region, weight] : m_weights) {
        weight /= sum;
    }
}

void RegionWeights::moveTowards(const std::map<RegionId, double> &wanted, double largestShift)
{
    double moved = 0;
    for (const auto &[region, goal] : wanted) {
        moved += std::max(0.0, goal - weight(region));
    }
    const double fraction = moved > largestShift ? largestShift / moved : 1;
    for (const auto &[region, goal] : wanted) {
        double &current = m_weights[region];
        current += (goal - current) * fraction;
    }
}

RegionId RegionWeights::choose(double position, const std::function<bool(const RegionId &)> &isAllowed) const
{
    std::vector<std::pair<RegionId, double>> allowed;
    double sum = 0;
    for (const auto &[region, weight] : m_weights) {
        if (isAllowed(region)) {
            allowed.emplace_back(region, weight);
            sum += weight;
        }
    }
    // The own region comes first, so that it keeps the same objects however the others divide the rest.
    std::stable_partition(allowed.begin(), allowed.end(), [this](const auto &entry) {
        return entry.first == m_own;
    });
    if (allowed.empty()) {
        return {};
    }
    double rest = position * sum;
    for (const auto &[region, weight] : allowed) {
        if (rest < weight) {
            return region;
        }
        rest -= weight;
    }
    return allowed.front().first;
}

double RegionWeights::weight(const RegionId &region) const
{
    const auto found = m_weights.find(region);
    return found == m_weights.end() ? 0 : found->second;
}

} // namespace Sapphire
