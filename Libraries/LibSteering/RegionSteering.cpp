#include <LibSteering/RegionSteering.h>

#include <algorithm>
#include <cmath>

namespace Sapphire {

namespace {

// The own region takes requests back only below this utilization, so that the weights don't oscillate.
constexpr double returnUtilization = 0.7;
// A refusal rate below this is left to retries.
constexpr double toleratedRefusalRate = 0.005;

} // namespace

RegionSteering::RegionSteering(RegionSteeringSettings settings) : m_settings(std::move(settings))
{
    m_weights[m_settings.ownRegion] = wholeShare.value();
}

void RegionSteering::configure(RegionSteeringSettings settings)
{
    m_settings = std::move(settings);
}

const RegionUsage *RegionSteering::usageOf(const Observation &observation, const RegionId &region)
{
    const auto found = std::find_if(observation.reportedUsages.begin(), observation.reportedUsages.end(),
                                    [&](const RegionUsage &usage) {
                                        return usage.region == region;
                                    });
    return found == observation.reportedUsages.end() ? nullptr : &*found;
}

void RegionSteering::adjust(const Observation &observation, TimePoint now, RandomSource &random)
{
    updateAllowances(observation, now, random);
    if (m_hasStarted && !m_nextAdjustment.hasPassed(now)) {
        return;
    }
    if (m_hasStarted) {
        moveTowards(wantedWeights(observation));
    }
    m_hasStarted = true;
    m_nextAdjustment = Deadline::after(now, m_settings.shiftInterval);
    m_triedInOwnRegion = 0;
    m_refusedInOwnRegion = 0;
}

std::map<RegionId, std::int64_t> RegionSteering::wantedWeights(const Observation &observation) const
{
    const std::int64_t own = weight(m_settings.ownRegion).value();
    const RegionUsage *ownUsage = usageOf(observation, m_settings.ownRegion);
    const bool hasTargets = ownUsage != nullptr && ownUsage->slots > 0;
    const double refusalRate =
        m_triedInOwnRegion == 0 ? 0.0 : static_cast<double>(m_refusedInOwnRegion) / m_triedInOwnRegion;

    std::int64_t wantedOwn = own;
    if (!hasTargets) {
        wantedOwn = 0;
    } else if (refusalRate > toleratedRefusalRate) {
        wantedOwn = static_cast<std::int64_t>(static_cast<double>(own) * (1.0 - refusalRate));
    } else if (!observation.isOwnRegionSlow && ownUsage->busy < returnUtilization * ownUsage->slots) {
        wantedOwn = wholeShare.value();
    }

    std::map<RegionId, std::int64_t> wanted { { m_settings.ownRegion, wantedOwn } };
    double freeSlotsTotal = 0;
    std::map<RegionId, double> freeSlots;
    for (const RegionId &region : m_settings.fallbacks) {
        const RegionUsage *usage = usageOf(observation, region);
        if (usage == nullptr || usage->slots == 0) {
            continue;
        }
        // Requests that this VM already sent there must not make the region look full to it.
        const double limit = static_cast<double>(m_settings.regionLimit.value())
            / static_cast<double>(wholeShare.value()) * usage->slots;
        freeSlots[region] = std::max(0.0, limit - usage->busy) + (weight(region).value() > 0 ? 1.0 : 0.0);
        freeSlotsTotal += freeSlots[region];
    }
    if (freeSlotsTotal <= 0) {
        // No other region has capacity, so the own region refuses what it can't serve, as not run.
        wanted[m_settings.ownRegion] = wholeShare.value();
        return wanted;
    }
    const std::int64_t moved = wholeShare.value() - wantedOwn;
    for (const auto &[region, capacity] : freeSlots) {
        wanted[region] = static_cast<std::int64_t>(static_cast<double>(moved) * capacity / freeSlotsTotal);
    }
    return wanted;
}

void RegionSteering::moveTowards(const std::map<RegionId, std::int64_t> &wanted)
{
    std::map<RegionId, std::int64_t> difference;
    std::int64_t gains = 0;
    for (const auto &[region, goal] : wanted) {
        difference[region] = goal - weight(region).value();
    }
    for (const auto &[region, current] : m_weights) {
        if (!wanted.contains(region)) {
            difference[region] = -current;
        }
    }
    for (const auto &[region, change] : difference) {
        gains += std::max<std::int64_t>(0, change);
    }
    const double scale = gains > m_settings.shiftCap.value()
        ? static_cast<double>(m_settings.shiftCap.value()) / static_cast<double>(gains)
        : 1.0;
    std::int64_t others = 0;
    for (const auto &[region, change] : difference) {
        if (region == m_settings.ownRegion) {
            continue;
        }
        // Rounding down gains and losses alike keeps the sum of the shifts within the cap.
        const auto step = static_cast<std::int64_t>(std::floor(static_cast<double>(std::abs(change)) * scale));
        m_weights[region] = weight(region).value() + (change < 0 ? -step : step);
        others += m_weights[region];
    }
    m_weights[m_settings.ownRegion] = wholeShare.value() - others;
    std::erase_if(m_weights, [this](const auto &entry) {
        return entry.second <= 0 && entry.first != m_settings.ownRegion;
    });
}

void RegionSteering::updateAllowances(const Observation &observation, TimePoint now, RandomSource &random)
{
    m_allowances.clear();
    const double vms = static_cast<double>(std::max<std::size_t>(1, observation.sendingVms));
    for (const RegionId &region : m_settings.fallbacks) {
        const RegionUsage *usage = usageOf(observation, region);
        if (usage == nullptr) {
            continue;
        }
        const double limit = static_cast<double>(m_settings.regionLimit.value())
            / static_cast<double>(wholeShare.value()) * usage->slots;
        MovingAverage &own = m_averageRunning.try_emplace(region, RegionUsageAverage::timeConstant).first->second;
        own.note(m_running[region], now);
        // Requests arrive at random: about one sixth of the time, the number of running ones exceeds the average by its
        // square root or more. Without this margin a VM that is held to its average would run less, so that the average
        // would fall further and further.
        const double usualPeak = own.value() + std::sqrt(own.value());
        const double allowed = usualPeak + std::max(0.0, limit - usage->busy) / vms;
        // A fraction of a slot is granted with that probability, so that the VMs together use the free slots.
        const double whole = std::floor(allowed);
        m_allowances[region] = static_cast<int>(whole) + (random.unit() < allowed - whole ? 1 : 0);
    }
}

RegionSteering::Choice RegionSteering::choose(RandomSource &random)
{
    auto point = static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(wholeShare.value())));
    RegionId chosen = m_settings.ownRegion;
    for (const auto &[region, part] : m_weights) {
        if (point < part) {
            chosen = region;
            break;
        }
        point -= part;
    }
    bool wasLimited = false;
    if (chosen != m_settings.ownRegion && m_running[chosen] >= m_allowances[chosen]) {
        chosen = m_settings.ownRegion;
        wasLimited = true;
    }
    ++m_running[chosen];
    return { chosen, wasLimited };
}

void RegionSteering::finished(const RegionId &region, bool wasRefusedForLackOfCapacity)
{
    --m_running[region];
    if (region == m_settings.ownRegion) {
        ++m_triedInOwnRegion;
        m_refusedInOwnRegion += wasRefusedForLackOfCapacity ? 1 : 0;
    }
}

Share RegionSteering::weight(const RegionId &region) const
{
    const auto found = m_weights.find(region);
    return found == m_weights.end() ? Share(0) : Share(found->second);
}

} // namespace Sapphire
