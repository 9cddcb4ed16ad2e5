#pragma once

#include <Soak/SoakRecord.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Sapphire {

/// Checks what callers and targets recorded in a run against the guarantees of the system.
class SoakChecks
{
public:
    explicit SoakChecks(const SoakRecord &record);

    /// Returns the violations, one sentence each.
    std::vector<std::string> run();

private:
    using Span = std::pair<TimePoint, TimePoint>;

    void checkBookings();
    void checkAnswer(const CallerRecord &request);
    void checkUnanswered(const CallerRecord &request);
    void checkTimes();
    void checkKeys();
    void checkDrains();
    void checkRuns();
    void checkRecovery();

    Span span(const CallerRecord &request) const;
    /// Returns whether a fault of one of the scopes was active during the span or ended shortly before it. Faults on
    /// single VMs and their store links count only for the given VM; an empty address stands for all VMs.
    bool isAffected(const std::string &vm, Span span, const std::set<SoakScope> &scopes,
                    const std::set<SoakFaultKind> &excluded = {}) const;
    bool isAnyVmAffected(Span span, const std::set<SoakScope> &scopes,
                         const std::set<SoakFaultKind> &excluded = {}) const;
    bool hasRun(const CallerRecord &request) const;
    void addViolation(const CallerRecord &request, const std::string &what);

    const SoakRecord &m_record;
    std::map<std::string, std::vector<const WireTargetRun *>> m_runs; ///< By the request's id.
    std::vector<std::string> m_violations;
};

} // namespace Sapphire
