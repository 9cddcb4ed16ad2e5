#include <LibSteering/TargetState.h>

#include <algorithm>
#include <cmath>

namespace Sapphire {

namespace {

// Observations come each second and take up to two hops of gossip.
constexpr Milliseconds reportFreshness { 4'000 };
constexpr Milliseconds reportLifetime { 15'000 };
// An own success counts for so long against reports that the target is down.
constexpr Milliseconds successLifetime { 2'000 };
constexpr double averageWeight = 0.2;
constexpr int answersForPlainAverage = 10;
// The usual latency follows changes within about this time.
constexpr double usualTimeConstantMicroseconds = 60e6;
constexpr int distrustFactor = 3;
constexpr Milliseconds leastDistrustLatency { 10 };
constexpr Milliseconds distrustTime { 10'000 };
constexpr int contradictionsToDistrust = 3;
constexpr Milliseconds shortestFull { 2 };
constexpr Milliseconds longestFull { 500 };
constexpr int mostShedDoublings = 8;
constexpr Milliseconds provenLifetime { 5'000 };
constexpr int coldSteps = 4;
constexpr Milliseconds coldStepTime { 2'000 };
// A cold target that stays slow gets its next step after this many step times all the same.
constexpr int longestColdSteps = 4;
constexpr int coldSlownessFactor = 2;
// After one service time the requests that a report counted are mostly done. In the simulated fleet of
// TestTargetSelector, counting reports for four service times made VMs flock to the same targets: 22% of the requests
// were shed at 9 slots and 800 ms, against 7% with one service time.
constexpr Milliseconds shortestFade { 50 };
constexpr Milliseconds sampleLifetime { 10'000 };
constexpr int leastAnswers = 10;

Microseconds weighted(Microseconds old, Microseconds added, double weight)
{
    const double value = static_cast<double>(old.count()) * (1 - weight) + static_cast<double>(added.count()) * weight;
    return Microseconds(static_cast<Microseconds::rep>(value));
}

} // namespace

TargetState::TargetState(TargetId target, int slots, bool isCold, TimePoint now)
    : m_target(std::move(target)), m_slots(slots), m_coldStep(isCold ? 1 : coldSteps), m_coldStepSince(now)
{
}

void TargetState::setDrained(bool isDrained, TimePoint now)
{
    if (m_isDrained && !isDrained) {
        startCold(now);
    }
    m_isDrained = isDrained;
}

void TargetState::startCold(TimePoint now)
{
    m_coldStep = 1;
    m_coldStepSince = now;
    m_recentAnswers = 0;
    m_errorShare = 0;
}

void TargetState::noteStart()
{
    ++m_inFlight;
}

void TargetState::noteEnd(AttemptOutcome outcome, TimePoint startedAt, int inFlightAtStart, Microseconds latency,
                          TimePoint now)
{
    --m_inFlight;
    switch (outcome) {
    case AttemptOutcome::Success:
        noteAnswer(latency, false, now);
        noteSuccess(startedAt, inFlightAtStart, now);
        break;
    case AttemptOutcome::ServerError:
        noteAnswer(latency, true, now);
        break;
    case AttemptOutcome::Shed:
        noteShed(now);
        break;
    case AttemptOutcome::Failure:
    case AttemptOutcome::Nothing:
        break;
    }
}

void TargetState::noteAnswer(Microseconds latency, bool isError, TimePoint now)
{
    ++m_answers;
    ++m_recentAnswers;
    m_errorShare += averageWeight * ((isError ? 1.0 : 0.0) - m_errorShare);
    const double plainWeight = 1.0 / m_recentAnswers;
    m_averageLatency = weighted(m_averageLatency, latency, std::max(plainWeight, averageWeight));
    if (m_answers <= answersForPlainAverage) {
        m_usualLatency = weighted(m_usualLatency, latency, 1.0 / m_answers);
    } else {
        const auto pause = static_cast<double>((now - m_lastAnswerAt).count());
        m_usualLatency = weighted(m_usualLatency, latency, 1 - std::exp(-pause / usualTimeConstantMicroseconds));
    }
    m_lastAnswerAt = now;
}

void TargetState::noteShed(TimePoint now)
{
    // A slot becomes free after about one service time divided by the slots; repeated sheds show that it takes longer.
    const int doublings = std::min(m_shedsInRow, mostShedDoublings);
    const Microseconds wait = m_usualLatency / std::max(m_slots, 1) * (1U << static_cast<unsigned>(doublings));
    m_fullUntil = Deadline::after(now, std::clamp<Microseconds>(wait, shortestFull * (1 + doublings), longestFull));
    ++m_shedsInRow;
    m_provenInFlight = 0;
}

void TargetState::noteSuccess(TimePoint startedAt, int inFlightAtStart, TimePoint now)
{
    m_shedsInRow = 0;
    m_lastSuccessStart = std::max(m_lastSuccessStart, startedAt);
    if (inFlightAtStart >= provenInFlight(now)) {
        m_provenInFlight = inFlightAtStart;
        m_provenAt = now;
    }
    judgeReport(startedAt, now);
}

void TargetState::judgeReport(TimePoint startedAt, TimePoint now)
{
    const TargetReport *report = freshReport(now);
    if (report == nullptr) {
        return;
    }
    const int reportedSlots = std::max(report->slots, 1);
    const bool isSlow = m_averageLatency > m_usualLatency * distrustFactor && m_averageLatency > leastDistrustLatency;
    if (isSlow && 2 * report->inFlight < reportedSlots) {
        m_distrustedUntil = now + distrustTime;
        return;
    }
    // A full target sheds; one that took a request right after it reported to be full was not.
    const bool isContradicted = report->inFlight >= reportedSlots && startedAt > report->observedAt
        && startedAt - report->observedAt < m_usualLatency && report->observedAt != m_contradictedReport;
    if (isContradicted) {
        m_contradictedReport = report->observedAt;
        ++m_contradictions;
        if (m_contradictions >= contradictionsToDistrust) {
            m_distrustedUntil = now + distrustTime;
        }
    }
}

void TargetState::takeReport(const TargetReport &report)
{
    const auto [entry, isNew] = m_reports.try_emplace(report.observer, report);
    if (!isNew) {
        if (report.observedAt <= entry->second.observedAt) {
            return;
        }
        entry->second = report;
    }
    std::erase_if(m_reports, [&](const auto &other) {
        return report.observedAt - other.second.observedAt > reportLifetime;
    });
    const std::optional<TargetReport> newest = newestReport();
    if (newest->inFlight < std::max(newest->slots, 1)) {
        m_contradictions = 0;
    }
    // A target that went on answering has kept its caches, whatever its health said.
    const bool wasAway = (m_wasReportedDown && !hasSucceededLately(report.observedAt)) || saysDraining();
    m_wasReportedDown = newest->health == TargetHealth::Failing || newest->health == TargetHealth::Unreachable;
    if (report.health == TargetHealth::Draining) {
        m_drainingAt = std::max(m_drainingAt, report.observedAt);
    } else if (report.health != TargetHealth::Unreachable) {
        m_notDrainingAt = std::max(m_notDrainingAt, report.observedAt);
    }
    if (wasAway && !m_wasReportedDown && !saysDraining()) {
        startCold(report.observedAt);
    }
}

std::optional<TargetReport> TargetState::newestReport() const
{
    // An observer that can't reach the target may itself be cut off, so that any other one's word counts more.
    const TargetReport *newest = nullptr;
    for (const auto &[observer, report] : m_reports) {
        const bool isUnreachable = report.health == TargetHealth::Unreachable;
        const bool newestIsUnreachable = newest != nullptr && newest->health == TargetHealth::Unreachable;
        const bool isNewer = newest == nullptr || report.observedAt > newest->observedAt;
        if (newest == nullptr || isUnreachable == newestIsUnreachable) {
            newest = isNewer ? &report : newest;
            continue;
        }
        const TargetReport *reachable = isUnreachable ? newest : &report;
        const TargetReport *unreachable = isUnreachable ? &report : newest;
        const bool isOutdated = unreachable->observedAt - reachable->observedAt > reportFreshness;
        newest = isOutdated ? unreachable : reachable;
    }
    return newest == nullptr ? std::nullopt : std::optional(*newest);
}

void TargetState::advance(TimePoint now)
{
    if (m_coldStep >= coldSteps || now - m_coldStepSince < coldStepTime) {
        return;
    }
    const bool isSlow = m_recentAnswers > 0 && m_averageLatency > m_usualLatency * coldSlownessFactor;
    if (isSlow && now - m_coldStepSince < coldStepTime * longestColdSteps) {
        return;
    }
    ++m_coldStep;
    m_coldStepSince = now;
}

const TargetReport *TargetState::freshReport(TimePoint now) const
{
    const TargetReport *newest = nullptr;
    for (const auto &[observer, report] : m_reports) {
        const bool isFresh = now - report.observedAt <= reportFreshness && report.health != TargetHealth::Unreachable;
        if (isFresh && (newest == nullptr || report.observedAt > newest->observedAt)) {
            newest = &report;
        }
    }
    return newest;
}

bool TargetState::isReportedDown(TimePoint now) const
{
    const std::optional<TargetReport> report = newestReport();
    if (!report || now - report->observedAt > reportFreshness) {
        return false;
    }
    const bool saysDown = report->health == TargetHealth::Failing || report->health == TargetHealth::Unreachable;
    return saysDown && !hasSucceededLately(now);
}

bool TargetState::hasSucceededLately(TimePoint now) const
{
    return m_lastSuccessStart > TimePoint {} && now - m_lastSuccessStart < successLifetime;
}

int TargetState::slots(TimePoint now) const
{
    const TargetReport *report = freshReport(now);
    if (report == nullptr || !isReportTrusted(now) || report->slots <= 0) {
        return m_slots;
    }
    return std::min(m_slots, report->slots);
}

int TargetState::limit(TimePoint now) const
{
    return std::max(1, slots(now) * m_coldStep / coldSteps);
}

double TargetState::coldShare() const
{
    return static_cast<double>(m_coldStep) / coldSteps;
}

Microseconds TargetState::fadeTime() const
{
    return std::max<Microseconds>(m_usualLatency, shortestFade);
}

double TargetState::effectiveLoad(TimePoint now) const
{
    const double own = m_inFlight;
    const TargetReport *report = freshReport(now);
    if (!isReportTrusted(now)) {
        // The latency itself shows how busy a slow target is.
        const bool isSlow = m_averageLatency > m_usualLatency && m_averageLatency > Microseconds::zero();
        const double idlePart =
            isSlow ? static_cast<double>(m_usualLatency.count()) / static_cast<double>(m_averageLatency.count()) : 1.0;
        return std::max(own, m_slots * (1 - idlePart));
    }
    if (report == nullptr) {
        return own;
    }
    const auto age = static_cast<double>((now - report->observedAt).count());
    const double freshness = std::clamp(1 - age / static_cast<double>(fadeTime().count()), 0.0, 1.0);
    return std::max(own, report->inFlight * freshness);
}

int TargetState::busySlots(TimePoint now) const
{
    const TargetReport *report = freshReport(now);
    const int reported = report != nullptr && isReportTrusted(now) ? report->inFlight : 0;
    return std::min(std::max(m_inFlight, reported), slots(now));
}

int TargetState::provenInFlight(TimePoint now) const
{
    return now - m_provenAt < provenLifetime ? m_provenInFlight : 0;
}

bool TargetState::hasSamples(TimePoint now) const
{
    return m_recentAnswers >= leastAnswers && now - m_lastAnswerAt < sampleLifetime;
}

} // namespace Sapphire
