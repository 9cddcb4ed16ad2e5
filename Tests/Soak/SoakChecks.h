#pragma once

#include <Soak/SoakRecord.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Sapphire {

/// Compares what callers and targets saw in a run with what the product promises.
class SoakChecks
{
public:
    explicit SoakChecks(const SoakRecord &record);

    /// Returns the broken promises, a sentence each.
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
    /// Returns whether a fault of one of the scopes touched the span, or ended shortly before it. Of faults on single
    /// VMs and their links, those on the given VM count; an empty one stands for all.
    bool isHit(const std::string &vm, Span span, const std::set<SoakScope> &scopes,
               const std::set<SoakFaultKind> &excepted = {}) const;
    bool isAnyHit(Span span, const std::set<SoakScope> &scopes, const std::set<SoakFaultKind> &excepted = {}) const;
    bool hasRun(const CallerRecord &request) const;
    void broken(const CallerRecord &request, const std::string &what);

    const SoakRecord &m_record;
    std::map<std::string, std::vector<const WireTargetRun *>> m_runs; ///< By the request's id.
    std::vector<std::string> m_broken;
};

} // namespace Sapphire
