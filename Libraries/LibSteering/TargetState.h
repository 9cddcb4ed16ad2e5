#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibSteering/TargetReport.h>

#include <map>
#include <optional>

namespace Sapphire {

/// What an attempt at a target showed of it.
enum class AttemptOutcome {
    Success,
    ServerError, ///< The target answered with a server error; shows neither that it works nor that it is down.
    Shed, ///< The target is full.
    Failure,
    Nothing, ///< The attempt ended for other reasons.
};

/// This VM's own view of one target: what it sent there, what came back, and what observers report.
class TargetState
{
public:
    /// The slots are those of the configuration. A target that is new to a running VM is taken for cold.
    TargetState(TargetId target, int slots, bool isCold, TimePoint now);

    const TargetId &target() const
    {
        return m_target;
    }
    void setSlots(int slots)
    {
        m_slots = slots;
    }
    void setDrained(bool isDrained, TimePoint now);
    /// Lets the target get its room in steps, since it was away and its caches are cold.
    void startCold(TimePoint now);

    void noteStart();
    /// The arguments are those of the attempt: when it started, the number of own requests in flight at that moment
    /// with itself, and the latency of its answer.
    void noteEnd(AttemptOutcome outcome, TimePoint startedAt, int inFlightAtStart, Microseconds latency, TimePoint now);
    /// Takes an observation; those older than the newest of the same observer are ignored.
    void takeReport(const TargetReport &report);
    /// Brings the steps of a cold target up to date.
    void advance(TimePoint now);

    int inFlight() const
    {
        return m_inFlight;
    }
    /// Drained by an operator or by the target's own word; it gets no new work.
    bool isDraining() const
    {
        return m_isDrained || saysDraining();
    }
    /// Whether observers report it as failing or unreachable and no own request shows the contrary.
    bool isReportedDown(TimePoint now) const;
    int configuredSlots() const
    {
        return m_slots;
    }
    /// Slots that may be used: those configured, or fewer if the target says so.
    int slots(TimePoint now) const;
    /// Slots that this VM may use, fewer while the target is cold.
    int limit(TimePoint now) const;
    /// The probability with which a cold target is considered; 1 for a warm one.
    double coldShare() const;
    /// Requests in flight there, by own count and, as far as it is fresh and trusted, by the target's.
    double effectiveLoad(TimePoint now) const;
    /// As effectiveLoad(), but without fading with the report's age, for statements to others.
    int busySlots(TimePoint now) const;
    /// Own requests that were in flight when one succeeded lately, although the reports leave no room.
    int provenInFlight(TimePoint now) const;
    /// After a shed request, until when the target is taken for full.
    Deadline fullUntil() const
    {
        return m_fullUntil;
    }
    bool isReportTrusted(TimePoint now) const
    {
        return now >= m_distrustedUntil;
    }
    Microseconds averageLatency() const
    {
        return m_averageLatency;
    }
    Microseconds baselineLatency() const
    {
        return m_usualLatency;
    }
    double errorRate() const
    {
        return m_errorShare;
    }
    /// Whether enough recent answers are known to compare the target with others.
    bool hasSamples(TimePoint now) const;
    std::optional<TargetReport> newestReport() const;

private:
    bool saysDraining() const
    {
        return m_drainingAt > m_notDrainingAt;
    }
    bool hasSucceededLately(TimePoint now) const;
    void noteAnswer(Microseconds latency, bool isError, TimePoint now);
    void noteShed(TimePoint now);
    void noteSuccess(TimePoint startedAt, int inFlightAtStart, TimePoint now);
    /// Compares the newest report with what own requests show.
    void judgeReport(TimePoint startedAt, TimePoint now);
    const TargetReport *freshReport(TimePoint now) const;
    Microseconds fadeTime() const;

    TargetId m_target;
    int m_slots;
    int m_inFlight { 0 };
    bool m_isDrained { false };
    bool m_wasReportedDown { false };
    TimePoint m_drainingAt {}; ///< When an observer last heard that the target drains.
    TimePoint m_notDrainingAt {}; ///< When one last heard another health from it.
    std::map<VmId, TargetReport> m_reports; ///< The newest of each observer.
    int m_answers { 0 };
    int m_recentAnswers { 0 }; ///< Since it was last cold.
    TimePoint m_lastAnswerAt {};
    TimePoint m_lastSuccessStart {};
    Microseconds m_averageLatency {};
    Microseconds m_usualLatency {};
    double m_errorShare { 0 };
    Deadline m_fullUntil;
    int m_shedsInRow { 0 };
    int m_provenInFlight { 0 };
    TimePoint m_provenAt {};
    TimePoint m_distrustedUntil {};
    TimePoint m_contradictedReport {};
    int m_contradictions { 0 };
    int m_coldStep;
    TimePoint m_coldStepSince;
};

} // namespace Sapphire
