#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibSteering/TargetReport.h>

#include <map>
#include <optional>

namespace Sapphire {

/// What the outcome of an attempt shows about the target.
enum class AttemptOutcome {
    Success,
    ServerError, ///< The target answered with a server error, which shows neither that it works nor that it is down.
    Shed, ///< The target rejected the request because it is full.
    Failure,
    Nothing, ///< The attempt ended for reasons that don't concern the target.
};

/// This VM's view of one target: its own requests there, their outcomes, and the reports of observers.
class TargetState
{
public:
    /// Takes the configured slots. A target that is added while the VM runs counts as cold.
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
    /// Starts to raise the target's limit in steps (slow start), since it was away and its caches are cold.
    void startCold(TimePoint now);

    void noteStart();
    /// Takes the outcome of an attempt, when it started, the number of this VM's requests in flight at that moment
    /// including itself, and the latency of its answer.
    void noteEnd(AttemptOutcome outcome, TimePoint startedAt, int inFlightAtStart, Microseconds latency, TimePoint now);
    /// Takes an observer's report, unless it is older than the observer's last one.
    void takeReport(const TargetReport &report);
    /// Advances the slow start of a cold target if its next step is due.
    void advance(TimePoint now);

    int inFlight() const
    {
        return m_inFlight;
    }
    /// Returns whether the target is drained by an operator or reports itself as draining; it gets no new requests.
    bool isDraining() const
    {
        return m_isDrained || isReportedDraining();
    }
    /// Returns whether observers report it as failing or unreachable and none of this VM's requests succeeded recently.
    bool isReportedDown(TimePoint now) const;
    int configuredSlots() const
    {
        return m_slots;
    }
    /// Returns the slots that may be used: the configured ones, or fewer if the target reports fewer.
    int slots(TimePoint now) const;
    /// Returns the slots that this VM may use; fewer than slots() during slow start, and at least one.
    int limit(TimePoint now) const;
    /// Returns how far the slow start has come, from above 0 to 1. It is also the probability with which the target is
    /// preferred in a selection. 1 for a warm target.
    double slowStartFraction() const;
    /// Returns the requests at the target: those of this VM, or those that the target reports if these are more.
    /// Reports lose weight with age and count only while they are trusted.
    double effectiveLoad(TimePoint now) const;
    /// Returns the busy slots for reports to other VMs, at most slots(): as effectiveLoad(), but a fresh and trusted
    /// report keeps its full weight, whatever its age.
    int busySlots(TimePoint now) const;
    /// Returns a number of this VM's requests in flight that the target has recently handled, whatever it reports: the
    /// most that were in flight when a request that succeeded recently was sent.
    int provenInFlight(TimePoint now) const;
    /// Returns until when the target counts as full after it has shed a request.
    Deadline fullUntil() const
    {
        return m_fullUntil;
    }
    /// Returns whether the reported load counts. It doesn't for a while after requests contradicted it.
    bool isReportTrusted(TimePoint now) const
    {
        return now >= m_distrustedUntil;
    }
    Microseconds averageLatency() const
    {
        return m_averageLatency;
    }
    /// Returns the long-term average.
    Microseconds baselineLatency() const
    {
        return m_baselineLatency;
    }
    double errorRate() const
    {
        return m_errorRate;
    }
    /// Returns whether there are enough recent answers to compare the target with others.
    bool hasSamples(TimePoint now) const;
    std::optional<TargetReport> newestReport() const;

private:
    bool isReportedDraining() const
    {
        return m_drainingAt > m_notDrainingAt;
    }
    bool hasSucceededRecently(TimePoint now) const;
    void noteAnswer(Microseconds latency, bool isError, TimePoint now);
    void noteShed(TimePoint now);
    void noteSuccess(TimePoint startedAt, int inFlightAtStart, TimePoint now);
    /// Distrusts the newest report if the outcomes of this VM's requests contradict it.
    void judgeReport(TimePoint startedAt, TimePoint now);
    /// Returns the newest report of an observer that reached the target, or null if there is no fresh one.
    const TargetReport *freshReport(TimePoint now) const;
    /// Returns the age at which a report no longer counts for the load.
    Microseconds reportDecayTime() const;

    TargetId m_target;
    int m_slots;
    int m_inFlight { 0 };
    bool m_isDrained { false };
    bool m_wasReportedDown { false };
    TimePoint m_drainingAt {}; ///< When an observer last saw the target draining.
    TimePoint m_notDrainingAt {}; ///< When an observer that reached the target last saw it not draining.
    std::map<VmId, TargetReport> m_reports; ///< The newest one of each observer.
    int m_answers { 0 };
    int m_recentAnswers { 0 }; ///< Since the last slow start began.
    TimePoint m_lastAnswerAt {};
    TimePoint m_lastSuccessStart {};
    Microseconds m_averageLatency {};
    Microseconds m_baselineLatency {};
    double m_errorRate { 0 };
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
