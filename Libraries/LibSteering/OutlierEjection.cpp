#include <LibSteering/OutlierEjection.h>

#include <algorithm>
#include <utility>

namespace Sapphire {

namespace {

constexpr int failuresToEject = 3;
constexpr Milliseconds firstEjectionTime { 1'000 };
constexpr Milliseconds longestEjectionTime { 30'000 };
// After a target has worked for this long since its readmission, its ejection time starts again with the first one.
constexpr Milliseconds resetAfter { 60'000 };
constexpr int mostDoublings = 5;
// Ejection times differ by up to this fraction, so that the VMs don't all try a target at the same moment.
constexpr double jitter = 0.3;
constexpr int latencyFactor = 3;
// A slow target does no harm below this difference.
constexpr Milliseconds leastLatencyDifference { 20 };
constexpr double outlierErrorRate = 0.5;
constexpr double usualErrorRate = 0.1;
constexpr std::size_t leastSamples = 3;

} // namespace

bool OutlierEjection::noteFailure(const TargetId &target, TimePoint now, RandomSource &random)
{
    Record &record = m_records[target];
    const bool wasTrial = std::exchange(record.isTrialInProgress, false);
    ++record.failuresInRow;
    const bool isEjectedNow = record.isEjected ? wasTrial : record.failuresInRow >= failuresToEject;
    if (isEjectedNow) {
        eject(record, record.isOutlier, now, random);
    }
    return isEjectedNow;
}

bool OutlierEjection::noteSuccess(const TargetId &target, TimePoint now)
{
    const auto found = m_records.find(target);
    if (found == m_records.end()) {
        return false;
    }
    Record &record = found->second;
    record.failuresInRow = 0;
    // Requests that were running when the target was ejected may still succeed; only a trial readmits.
    const bool isReadmitted = record.isEjected && record.isTrialInProgress;
    record.isTrialInProgress = false;
    if (isReadmitted) {
        record.isEjected = false;
        record.isOutlier = false;
        record.readmittedAt = now;
    } else if (!record.isEjected && now - record.readmittedAt > resetAfter) {
        m_records.erase(found);
    }
    return isReadmitted;
}

void OutlierEjection::eject(const TargetId &target, TimePoint now, RandomSource &random)
{
    Record &record = m_records[target];
    record.isTrialInProgress = false;
    if (!record.isEjected) {
        eject(record, false, now, random);
    }
}

void OutlierEjection::eject(Record &record, bool isOutlier, TimePoint now, RandomSource &random)
{
    const int doublings = std::min(record.ejections, mostDoublings);
    const Microseconds ejectionTime =
        std::min<Microseconds>(firstEjectionTime * (1U << static_cast<unsigned>(doublings)), longestEjectionTime);
    const double factor = 1.0 - jitter * random.unit();
    record.ejectedUntil = Deadline::after(
        now, Microseconds(static_cast<Microseconds::rep>(static_cast<double>(ejectionTime.count()) * factor)));
    record.isEjected = true;
    record.isOutlier = isOutlier;
    ++record.ejections;
}

std::vector<TargetId> OutlierEjection::ejectOutliers(std::vector<OutlierSample> samples, std::size_t targetCount,
                                                     TimePoint now, RandomSource &random)
{
    std::vector<TargetId> ejected;
    std::erase_if(samples, [this](const OutlierSample &sample) {
        return isEjected(sample.target);
    });
    if (samples.size() < leastSamples) {
        return ejected;
    }
    std::vector<double> errors;
    errors.reserve(samples.size());
    for (const OutlierSample &sample : samples) {
        errors.push_back(sample.errorRate);
    }
    std::sort(errors.begin(), errors.end());
    std::sort(samples.begin(), samples.end(), [](const OutlierSample &left, const OutlierSample &right) {
        return left.averageLatency > right.averageLatency;
    });
    // With an even number of samples, the lower of the two values in the middle counts as the median.
    const Microseconds medianLatency = samples[samples.size() / 2].averageLatency;
    const double medianErrors = errors[(errors.size() - 1) / 2];
    std::size_t count = outlierCount();
    for (const OutlierSample &sample : samples) {
        if (isOutlier(sample, medianLatency, medianErrors) && 2 * (count + 1) <= targetCount) {
            eject(m_records[sample.target], true, now, random);
            ejected.push_back(sample.target);
            ++count;
        }
    }
    return ejected;
}

bool OutlierEjection::isOutlier(const OutlierSample &sample, Microseconds medianLatency, double medianErrors) const
{
    const bool isSlow = sample.averageLatency > medianLatency * latencyFactor
        && sample.averageLatency - medianLatency > leastLatencyDifference;
    const bool isFaulty = sample.errorRate > outlierErrorRate && medianErrors < usualErrorRate;
    return isSlow || isFaulty;
}

std::size_t OutlierEjection::outlierCount() const
{
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(), [](const auto &entry) {
        return entry.second.isEjected && entry.second.isOutlier;
    }));
}

bool OutlierEjection::isEjected(const TargetId &target) const
{
    const auto found = m_records.find(target);
    return found != m_records.end() && found->second.isEjected;
}

bool OutlierEjection::mayTry(const TargetId &target, TimePoint now) const
{
    const auto found = m_records.find(target);
    return found != m_records.end() && found->second.isEjected && !found->second.isTrialInProgress
        && found->second.ejectedUntil.hasPassed(now);
}

Deadline OutlierEjection::nextTrialAt(const TargetId &target) const
{
    const auto found = m_records.find(target);
    return found == m_records.end() ? Deadline() : found->second.ejectedUntil;
}

void OutlierEjection::beginTrial(const TargetId &target)
{
    m_records[target].isTrialInProgress = true;
}

void OutlierEjection::endTrial(const TargetId &target)
{
    const auto found = m_records.find(target);
    if (found != m_records.end()) {
        found->second.isTrialInProgress = false;
    }
}

void OutlierEjection::remove(const TargetId &target)
{
    m_records.erase(target);
}

} // namespace Sapphire
