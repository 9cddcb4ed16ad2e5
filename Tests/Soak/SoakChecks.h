#pragma once

#include <Soak/SoakRecord.h>

#include <map>
#include <optional>
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
    void checkLeaves();
    void checkPauses();
    void checkRuns();
    void checkRecovery();

    /// Returns the address of the VM to which the caller of a request sent it, or an empty text.
    std::string vmOf(const std::string &requestId) const;
    /// Returns when the VM first passed on an answer in which the target said that it was leaving, if it did.
    std::optional<TimePoint> toldOfLeave(const SoakLeave &leave, const std::string &vm) const;
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
    std::map<std::string, std::string> m_vms; ///< By the request's id.
    std::vector<std::string> m_violations;
};

} // namespace Sapphire
