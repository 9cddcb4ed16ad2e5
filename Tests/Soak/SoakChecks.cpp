#include <Soak/SoakChecks.h>

#include <algorithm>
#include <sstream>

namespace Sapphire {

namespace {

// A fault may affect requests for this long after its end.
constexpr Milliseconds settlingTime { 2'000 };
// The route's timeout is 1 s; an answer may come 0.5 s later.
constexpr Milliseconds answerTimeLimit { 1'500 };
constexpr std::size_t maxLateAnswers = 8;
constexpr Milliseconds drainTime { 2'500 };
// Requests that were on their way when a target asked for a pause may still arrive for this long.
constexpr Milliseconds pauseNoticeTime { 500 };
constexpr int mostInPause = 2;
constexpr Milliseconds recoveryTime { 5'000 };
constexpr double minServedRatio = 0.95;
constexpr int statusOk = 200;
const std::set<int> denials { 400, 401, 403, 404 };

} // namespace

SoakChecks::SoakChecks(const SoakRecord &record) : m_record(record)
{
    for (const WireTargetRun &run : record.runs) {
        m_runs[run.requestId].push_back(&run);
    }
    for (const CallerRecord &request : record.requests) {
        m_vms[request.id] = request.vm;
    }
    for (const SoakKeyProbe &probe : record.probes) {
        m_vms[probe.record.id] = probe.record.vm;
    }
}

std::vector<std::string> SoakChecks::run()
{
    m_violations = m_record.unexpectedEnds;
    checkBookings();
    for (const CallerRecord &request : m_record.requests) {
        checkAnswer(request);
        checkUnanswered(request);
    }
    checkTimes();
    checkKeys();
    checkDrains();
    checkLeaves();
    checkPauses();
    checkRuns();
    checkRecovery();
    return m_violations;
}

void SoakChecks::addViolation(const CallerRecord &request, const std::string &what)
{
    const auto sentMs = std::chrono::duration_cast<Milliseconds>(request.sentAt - m_record.startedAt).count();
    const auto tookMs = std::chrono::duration_cast<Milliseconds>(request.endedAt - request.sentAt).count();
    std::ostringstream text;
    text << request.method << " " << request.id << " to " << request.vm << " at " << sentMs << " ms, status "
         << request.status << " after " << tookMs << " ms: " << what;
    m_violations.push_back(text.str());
}

bool SoakChecks::hasRun(const CallerRecord &request) const
{
    return m_runs.contains(request.id);
}

SoakChecks::Span SoakChecks::span(const CallerRecord &request) const
{
    return { request.sentAt, request.endedAt };
}

bool SoakChecks::isAffected(const std::string &vm, Span span, const std::set<SoakScope> &scopes,
                            const std::set<SoakFaultKind> &excluded) const
{
    return std::any_of(m_record.faults.begin(), m_record.faults.end(), [&](const SoakFault &fault) {
        const SoakScope scope = typeOf(fault.kind).scope;
        const bool isOfVm = scope == SoakScope::Vm || scope == SoakScope::StoreLink;
        const bool isHere = !isOfVm || vm.empty() || m_record.vmAddresses.at(fault.victim) == vm;
        const TimePoint from = m_record.startedAt + fault.from;
        const TimePoint to = m_record.startedAt + fault.to + settlingTime;
        return scopes.contains(scope) && !excluded.contains(fault.kind) && isHere && from <= span.second
            && to >= span.first;
    });
}

bool SoakChecks::isAnyVmAffected(Span span, const std::set<SoakScope> &scopes,
                                 const std::set<SoakFaultKind> &excluded) const
{
    return isAffected("", span, scopes, excluded);
}

void SoakChecks::checkBookings()
{
    for (const auto &[id, runs] : m_runs) {
        if (runs.size() > 1 && runs.front()->path.starts_with("/book/")) {
            m_violations.push_back("booking " + id + " ran " + std::to_string(runs.size()) + " times");
        }
    }
}

void SoakChecks::checkAnswer(const CallerRecord &request)
{
    if (request.status == statusOk) {
        const auto runs = m_runs.find(request.id);
        const bool matchesRun = runs != m_runs.end()
            && std::any_of(runs->second.begin(), runs->second.end(), [&](const WireTargetRun *run) {
                                    return request.body == "ran at " + run->target;
                                });
        if (!matchesRun) {
            addViolation(request, "the answer does not come from a target that ran the request: " + request.body);
        }
    }
    // A read may run at a target, fail there and still be refused, unless the answer says that it has not run.
    const bool isPromise = request.isRefused() && (request.saidNotRun || request.method == "POST");
    if (isPromise && hasRun(request)) {
        addViolation(request, "refused as not run, but it ran");
    }
    if (denials.contains(request.status)) {
        addViolation(request, "denied although the rules allow it");
    }
}

void SoakChecks::checkUnanswered(const CallerRecord &request)
{
    const std::set<SoakFaultKind> planned { SoakFaultKind::VmStopped, SoakFaultKind::SettingsChanged };
    if (request.status != 0 || request.wasRefusedConnection
        || isAffected(request.vm, span(request), { SoakScope::Vm }, planned)) {
        return;
    }
    const bool isStopping =
        isAffected(request.vm, span(request), { SoakScope::Vm }, { SoakFaultKind::SettingsChanged });
    const bool hasCrossedClose = (request.isOnUsedConnection || isStopping) && !hasRun(request);
    if (!hasCrossedClose) {
        addViolation(request, isStopping ? "interrupted by a planned stop" : "no answer from a healthy VM");
    }
}

void SoakChecks::checkTimes()
{
    std::vector<const CallerRecord *> late;
    for (const CallerRecord &request : m_record.requests) {
        if (request.status != 0 && request.endedAt - request.sentAt > answerTimeLimit
            && !isAffected(request.vm, span(request), { SoakScope::Vm })) {
            late.push_back(&request);
        }
    }
    if (late.size() > maxLateAnswers) {
        addViolation(*late.front(), "one of " + std::to_string(late.size()) + " answers that came too late");
    }
}

void SoakChecks::checkKeys()
{
    for (const SoakKeyProbe &probe : m_record.probes) {
        const Span around { probe.record.sentAt - settlingTime, probe.record.endedAt };
        if (isAffected(probe.record.vm, around, { SoakScope::Vm, SoakScope::StoreLink, SoakScope::Store })) {
            continue;
        }
        if (probe.isValid && denials.contains(probe.record.status)) {
            addViolation(probe.record, "a key of the rules in force is denied");
        }
        if (!probe.isValid && probe.record.status == statusOk) {
            addViolation(probe.record, "a withdrawn key is accepted");
        }
    }
}

void SoakChecks::checkDrains()
{
    for (const SoakDrain &drain : m_record.drains) {
        for (const WireTargetRun &run : m_record.runs) {
            const bool isLate =
                run.target == drain.target && run.at > drain.at + drainTime && run.at < drain.returnedAt;
            const Span around { drain.at - settlingTime, run.at };
            if (isLate && !isAnyVmAffected(around, { SoakScope::Vm, SoakScope::StoreLink, SoakScope::Store })) {
                m_violations.push_back("request " + run.requestId + " ran at " + run.target + " after its drain");
            }
        }
    }
}

std::string SoakChecks::vmOf(const std::string &requestId) const
{
    const auto found = m_vms.find(requestId);
    return found == m_vms.end() ? "" : found->second;
}

std::optional<TimePoint> SoakChecks::toldOfLeave(const SoakLeave &leave, const std::string &vm) const
{
    std::optional<TimePoint> told;
    for (const CallerRecord &request : m_record.requests) {
        // The target may have begun its answer before it was leaving unless the request was sent afterwards.
        const bool isTold = request.vm == vm && request.status == statusOk && request.body == "ran at " + leave.target
            && request.sentAt > leave.at && request.endedAt < leave.restartedAt;
        if (isTold && (!told || request.endedAt < *told)) {
            told = request.endedAt;
        }
    }
    return told;
}

void SoakChecks::checkLeaves()
{
    for (const SoakLeave &leave : m_record.leaves) {
        for (const std::string &vm : m_record.vmAddresses) {
            const std::optional<TimePoint> told = toldOfLeave(leave, vm);
            for (const CallerRecord &request : m_record.requests) {
                const auto runs = m_runs.find(request.id);
                if (!told || request.vm != vm || request.sentAt <= *told || runs == m_runs.end()
                    || isAffected(vm, { *told, request.sentAt }, { SoakScope::Vm })) {
                    continue;
                }
                const bool isLate =
                    std::any_of(runs->second.begin(), runs->second.end(), [&](const WireTargetRun *run) {
                        return run->target == leave.target && run->at < leave.restartedAt;
                    });
                if (isLate) {
                    addViolation(request, "ran at " + leave.target + ", which had told the VM that it was leaving");
                }
            }
        }
    }
}

void SoakChecks::checkPauses()
{
    for (const WireTargetPause &pause : m_record.pauses) {
        const std::string vm = vmOf(pause.requestId);
        const Span span { pause.at + pauseNoticeTime, pause.until };
        if (vm.empty() || isAffected(vm, { pause.at, pause.until }, { SoakScope::Vm, SoakScope::TargetLink })) {
            continue;
        }
        const auto isInPause = [&](const auto &arrival) {
            return arrival.target == pause.target && arrival.at > span.first && arrival.at < span.second
                && vmOf(arrival.requestId) == vm;
        };
        const auto runs = std::count_if(m_record.runs.begin(), m_record.runs.end(), isInPause);
        const auto turnedAway = std::count_if(m_record.pauses.begin(), m_record.pauses.end(), isInPause);
        if (runs + turnedAway > mostInPause) {
            m_violations.push_back(vm + " sent " + std::to_string(runs + turnedAway) + " requests to " + pause.target
                                   + " in the pause that it had asked for");
        }
    }
}

void SoakChecks::checkRuns()
{
    std::set<std::string> sent;
    for (const CallerRecord &request : m_record.requests) {
        sent.insert(request.id);
    }
    for (const SoakKeyProbe &probe : m_record.probes) {
        sent.insert(probe.record.id);
    }
    for (const auto &[id, runs] : m_runs) {
        if (!sent.contains(id)) {
            m_violations.push_back("request " + id + " ran although no caller sent it");
        }
    }
}

void SoakChecks::checkRecovery()
{
    int sent = 0;
    int served = 0;
    for (const CallerRecord &request : m_record.requests) {
        if (request.sentAt >= m_record.faultsEndedAt + recoveryTime) {
            ++sent;
            served += request.status == statusOk ? 1 : 0;
        }
    }
    if (sent == 0 || served < minServedRatio * sent) {
        m_violations.push_back("after the faults " + std::to_string(served) + " of " + std::to_string(sent)
                               + " requests were served");
    }
}

} // namespace Sapphire
