#include <LibSteering/TargetState.h>

#include <algorithm>
#include <cmath>

namespace Sapphire {

namespace {

// Reports are made each second and take up to two hops of gossip.
constexpr Milliseconds reportFreshness { 4'000 };
constexpr Milliseconds reportLifetime { 15'000 };
// For this long after a success of this VM, reports that the target is down are ignored.
constexpr Milliseconds successLifetime { 2'000 };
constexpr double averageWeight = 0.2;
constexpr int answersForPlainAverage = 10;
// The baseline latency follows changes within about this time.
constexpr double baselineTimeConstantMicroseconds = 60e6;
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
// A cold target that stays slow still gets its next step after this many step times.
constexpr int longestColdSteps = 4;
constexpr int coldSlownessFactor = 2;
// After one service time, most of the requests that a report counted are done. In the simulated fleet of
// TestTargetSelector, counting reports for four service times made all VMs choose the same targets: 22% of the requests
// were shed at 9 slots and 800 ms, against 7% with one service time.
constexpr Milliseconds shortestReportDecayTime { 50 };
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
    m_errorRate = 0;
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
    m_errorRate += averageWeight * ((isError ? 1.0 : 0.0) - m_errorRate);
    const double plainWeight = 1.0 / m_recentAnswers;
    m_averageLatency = weighted(m_averageLatency, latency, std::max(plainWeight, averageWeight));
    if (m_answers <= answersForPlainAverage) {
        m_baselineLatency = weighted(m_baselineLatency, latency, 1.0 / m_answers);
    } else {
        const auto pause = static_cast<double>((now - m_lastAnswerAt).count());
        m_baselineLatency =
            weighted(m_baselineLatency, latency, 1 - std::exp(-pause / baselineTimeConstantMicroseconds));
    }
    m_lastAnswerAt = now;
}

void TargetState::noteShed(TimePoint now)
{
    // A slot becomes free after about the service time divided by the slots; repeated sheds show that it takes longer.
    const int doublings = std::min(m_shedsInRow, mostShedDoublings);
    const Microseconds wait = m_baselineLatency / std::max(m_slots, 1) * (1U << static_cast<unsigned>(doublings));
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
    const bool isSlow =
        m_averageLatency > m_baselineLatency * distrustFactor && m_averageLatency > leastDistrustLatency;
    if (isSlow && 2 * report->inFlight < reportedSlots) {
        m_distrustedUntil = now + distrustTime;
        return;
    }
    // A full target sheds requests; one that accepted a request just after it reported itself full was not full.
    const bool isContradicted = report->inFlight >= reportedSlots && startedAt > report->observedAt
        && startedAt - report->observedAt < m_baselineLatency && report->observedAt != m_contradictedReport;
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
    // A target that kept answering has kept its caches, whatever health was reported.
    const bool wasAway = (m_wasReportedDown && !hasSucceededRecently(report.observedAt)) || isReportedDraining();
    m_wasReportedDown = newest->health == TargetHealth::Failing || newest->health == TargetHealth::Unreachable;
    if (report.health == TargetHealth::Draining) {
        m_drainingAt = std::max(m_drainingAt, report.observedAt);
    } else if (report.health != TargetHealth::Unreachable) {
        m_notDrainingAt = std::max(m_notDrainingAt, report.observedAt);
    }
    if (wasAway && !m_wasReportedDown && !isReportedDraining()) {
        startCold(report.observedAt);
    }
}

std::optional<TargetReport> TargetState::newestReport() const
{
    // An observer that can't reach the target may itself be disconnected, so a fresh report of one that can takes
    // precedence.
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
    const bool isSlow = m_recentAnswers > 0 && m_averageLatency > m_baselineLatency * coldSlownessFactor;
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
    return saysDown && !hasSucceededRecently(now);
}

bool TargetState::hasSucceededRecently(TimePoint now) const
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

double TargetState::slowStartFraction() const
{
    return static_cast<double>(m_coldStep) / coldSteps;
}

Microseconds TargetState::reportDecayTime() const
{
    return std::max<Microseconds>(m_baselineLatency, shortestReportDecayTime);
}

double TargetState::effectiveLoad(TimePoint now) const
{
    const double own = m_inFlight;
    const TargetReport *report = freshReport(now);
    if (!isReportTrusted(now)) {
        // Without a trusted report, the latency shows how busy a slow target is.
        const bool isSlow = m_averageLatency > m_baselineLatency && m_averageLatency > Microseconds::zero();
        const double idleFraction = isSlow
            ? static_cast<double>(m_baselineLatency.count()) / static_cast<double>(m_averageLatency.count())
            : 1.0;
        return std::max(own, m_slots * (1 - idleFraction));
    }
    if (report == nullptr) {
        return own;
    }
    const auto age = static_cast<double>((now - report->observedAt).count());
    const double freshness = std::clamp(1 - age / static_cast<double>(reportDecayTime().count()), 0.0, 1.0);
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
