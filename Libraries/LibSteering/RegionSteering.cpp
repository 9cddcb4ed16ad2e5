#include <LibSteering/RegionSteering.h>

#include <algorithm>
#include <cmath>

namespace Sapphire {

namespace {

// The own region takes flow back only while it is this far from full, so that the weights don't swing.
constexpr double returnUtilization = 0.7;
// Refusals below this part of the flow are left to retries.
constexpr double toleratedRefusals = 0.005;

} // namespace

RegionSteering::RegionSteering(RegionSteeringSettings settings) : m_settings(std::move(settings))
{
    m_weights[m_settings.ownRegion] = wholeShare.value();
}

void RegionSteering::configure(RegionSteeringSettings settings)
{
    m_settings = std::move(settings);
}

const RegionRoom *RegionSteering::roomOf(const Observation &observation, const RegionId &region)
{
    const auto found =
        std::find_if(observation.reportedUsages.begin(), observation.reportedUsages.end(), [&](const RegionRoom &room) {
            return room.region == region;
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
    const RegionRoom *ownRoom = roomOf(observation, m_settings.ownRegion);
    const bool hasTargets = ownRoom != nullptr && ownRoom->slots > 0;
    const double refused =
        m_triedInOwnRegion == 0 ? 0.0 : static_cast<double>(m_refusedInOwnRegion) / m_triedInOwnRegion;

    std::int64_t wantedOwn = own;
    if (!hasTargets) {
        wantedOwn = 0;
    } else if (refused > toleratedRefusals) {
        wantedOwn = static_cast<std::int64_t>(static_cast<double>(own) * (1.0 - refused));
    } else if (!observation.isOwnRegionSlow && ownRoom->busy < returnUtilization * ownRoom->slots) {
        wantedOwn = wholeShare.value();
    }

    std::map<RegionId, std::int64_t> wanted { { m_settings.ownRegion, wantedOwn } };
    double spareTotal = 0;
    std::map<RegionId, double> spare;
    for (const RegionId &region : m_settings.fallbacks) {
        const RegionRoom *room = roomOf(observation, region);
        if (room == nullptr || room->slots == 0) {
            continue;
        }
        // Work that this flow already put there must not make the region look full to its own sender.
        const double limit =
            static_cast<double>(m_settings.regionLimit.value()) / static_cast<double>(wholeShare.value()) * room->slots;
        spare[region] = std::max(0.0, limit - room->busy) + (weight(region).value() > 0 ? 1.0 : 0.0);
        spareTotal += spare[region];
    }
    if (spareTotal <= 0) {
        // No other region can take anything: what the own region can't serve is refused there, as not run.
        wanted[m_settings.ownRegion] = wholeShare.value();
        return wanted;
    }
    const std::int64_t moved = wholeShare.value() - wantedOwn;
    for (const auto &[region, room] : spare) {
        wanted[region] = static_cast<std::int64_t>(static_cast<double>(moved) * room / spareTotal);
    }
    return wanted;
}

void RegionSteering::moveTowards(const std::map<RegionId, std::int64_t> &wanted)
{
    std::map<RegionId, std::int64_t> difference;
    std::int64_t gains = 0;
    for (const auto &[region, target] : wanted) {
        difference[region] = target - weight(region).value();
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
        // Rounding down a gain and a loss alike keeps the sum of the moves within the cap.
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
        const RegionRoom *room = roomOf(observation, region);
        if (room == nullptr) {
            continue;
        }
        const double limit =
            static_cast<double>(m_settings.regionLimit.value()) / static_cast<double>(wholeShare.value()) * room->slots;
        MovingAverage &own = m_usualRunning.try_emplace(region, RegionUsageAverage::timeConstant).first->second;
        own.note(m_running[region], now);
        // Requests arrive at random: what runs exceeds its average by this much at one moment in six. Without it a VM
        // that is held to its average would run less, average less, and move ever less.
        const double usual = own.value() + std::sqrt(own.value());
        const double allowed = usual + std::max(0.0, limit - room->busy) / vms;
        // A fraction of a slot is granted with its probability, so that the VMs together use what is spare.
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

void RegionSteering::finished(const RegionId &region, bool wasRefusedForLackOfRoom)
{
    --m_running[region];
    if (region == m_settings.ownRegion) {
        ++m_triedInOwnRegion;
        m_refusedInOwnRegion += wasRefusedForLackOfRoom ? 1 : 0;
    }
}

Share RegionSteering::weight(const RegionId &region) const
{
    const auto found = m_weights.find(region);
    return found == m_weights.end() ? Share(0) : Share(found->second);
}

} // namespace Sapphire
