#include <LibTarget/ServiceTargets.h>

#include <LibCore/Duration.h>
#include <LibNet/SocketAddresses.h>
#include <LibTarget/DeathProbe.h>
#include <LibTarget/LibTargetEvents.h>

#include <Poco/Exception.h>

#include <algorithm>

namespace Sapphire {

namespace {

// A target counts as slow if its latency exceeds this multiple of its baseline.
constexpr int slowFactor = 2;

constexpr int mostAttempts = 6;
constexpr std::size_t prefetchBytes = 16384;
// The rest of a target's connection limit is left for observers, restarted VMs and connections that are being closed.
constexpr double usableConnectionShare = 0.8;
constexpr Milliseconds capacityCheckInterval { 20 };
constexpr int firstServerError = 500;
// A target counts as silent only after this multiple of its baseline latency and not before the least threshold. After
// a shorter wait, the caller's deadline may simply have been too short.
constexpr int silenceFactor = 3;
constexpr Milliseconds leastSilenceThreshold { 200 };
constexpr Milliseconds silenceThresholdIfUnknown { 1'000 };

int connectionsPerVm(const TargetRecord &record, std::size_t vms)
{
    const double share =
        record.connectionLimit * usableConnectionShare / static_cast<double>(std::max<std::size_t>(vms, 1));
    return std::clamp(static_cast<int>(share), ConnectionPool::leastLimit, ConnectionPool::mostLimit);
}

} // namespace

ServiceTargets::ServiceTargets(ServiceTargetsSettings settings, const Clock &clock, TargetDeathListener *listener)
    : m_settings(std::move(settings)), m_clock(clock), m_listener(listener)
{
}

void ServiceTargets::update(const Configuration &configuration, const std::vector<VmId> &vmsOfRegion)
{
    std::map<ServiceId, std::vector<const TargetRecord *>> records;
    for (const auto &[id, service] : configuration.services) {
        records[id];
    }
    for (const auto &[id, target] : configuration.targets) {
        const auto service = records.find(target.service);
        if (service != records.end() && target.locality.region == m_settings.region) {
            service->second.push_back(&target);
        }
    }
    const std::unique_lock lock(m_mutex);
    for (const auto &[id, targets] : records) {
        RefPointer<Service> &service = m_services[id];
        if (!service) {
            service = makeRefCounted<Service>(m_settings.slotPolicy);
        }
        updateService(*service, targets, vmsOfRegion);
    }
    std::erase_if(m_services, [&](const auto &entry) {
        return !records.contains(entry.first);
    });
}

void ServiceTargets::updateService(Service &service, const std::vector<const TargetRecord *> &records,
                                   const std::vector<VmId> &vmsOfRegion)
{
    const std::lock_guard guard(service.mutex);
    std::map<TargetId, RefPointer<TargetClient>> targets;
    std::vector<SelectableTarget> selectable;
    for (const TargetRecord *record : records) {
        const int limit = connectionsPerVm(*record, vmsOfRegion.size());
        RefPointer<TargetClient> client = makeTargetClient(*record, limit);
        if (!client) {
            continue;
        }
        const auto existing = service.targets.find(record->id);
        if (existing != service.targets.end() && existing->second->pool().address() == client->pool().address()) {
            client = existing->second;
            client->pool().setLimit(limit);
        }
        targets.emplace(record->id, std::move(client));
        // Each request in flight needs its own connection.
        selectable.push_back({ record->id, std::min(record->slots, limit), record->isDrained });
    }
    for (const auto &[id, client] : service.targets) {
        const auto kept = targets.find(id);
        if (kept == targets.end() || kept->second != client) {
            client->pool().close();
        }
    }
    service.targets = std::move(targets);
    service.selector.setTargets(selectable, m_clock.now());
    service.selector.setVms(m_settings.ownVm, vmsOfRegion);
    service.capacityMayExist.notify_all();
}

RefPointer<TargetClient> ServiceTargets::makeTargetClient(const TargetRecord &record, int connectionLimit) const
{
    const Outcome<Ipv4Endpoint> address = capture([&record] {
        return Ipv4Endpoint::parse(record.address);
    });
    if (!address) {
        logEvent(TargetEvents::targetAddressInvalid, { { "target", record.id }, { "address", record.address } });
        return nullptr;
    }
    return makeRefCounted<TargetClient>(record.id, record.locality, m_settings.ownVm, socketAddressOf(address.value()),
                                        connectionLimit, m_clock);
}

RefPointer<ServiceTargets::Service> ServiceTargets::find(const ServiceId &id) const
{
    const std::shared_lock lock(m_mutex);
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : found->second;
}

std::vector<std::pair<ServiceId, RefPointer<ServiceTargets::Service>>> ServiceTargets::services() const
{
    const std::shared_lock lock(m_mutex);
    return { m_services.begin(), m_services.end() };
}

ExchangeReport ServiceTargets::run(const RequestHead &head, BodySource &body, AnswerSink &sink,
                                   const RunContext &context)
{
    const RefPointer<Service> service = find(head.service);
    if (!service) {
        return { Refusal { RefusalReason::NoSuchService, Verdict::NotRun, "no service " + head.service.text() } };
    }
    // Read before a target is chosen, so that a caller that sends a small body slowly occupies no slot.
    ReplayableBody replayable(body);
    replayable.prefetch(std::min<std::uint64_t>(head.bodyBytes.value_or(1), prefetchBytes));
    std::set<TargetId> excluded;
    Verdict verdict = Verdict::NotRun;
    for (int attempts = 1;; ++attempts) {
        const Choice choice = choose(*service, head, sink, excluded);
        if (!choice.target) {
            Refusal refusal = refusalOf(choice.selection);
            refusal.verdict = verdict;
            return { std::move(refusal) };
        }
        AttemptReport report = runAttempt(*service, choice, head, replayable, sink, context.fingerprint);
        if (!report.exchange.refusal) {
            return report.exchange;
        }
        verdict = combine(verdict, report.exchange.refusal->verdict);
        if (attempts == mostAttempts || !isRetryable(head, report, replayable) || head.deadline.hasPassed(m_clock.now())
            || !context.mayRetry || !context.mayRetry(report)) {
            report.exchange.refusal->verdict = verdict;
            return report.exchange;
        }
        replayable.rewind();
        // The selector itself skips a target that shed until it may have capacity again.
        if (report.end != AttemptEnd::Shed) {
            excluded.insert(choice.attempt.target);
        }
    }
}

bool ServiceTargets::isRetryable(const RequestHead &head, const AttemptReport &report, const ReplayableBody &body)
{
    if (report.exchange.isAnswerStarted || !body.isReplayable() || report.end == AttemptEnd::CallerEnded) {
        return false;
    }
    return report.exchange.verdict() == Verdict::NotRun || head.isIdempotent;
}

Refusal ServiceTargets::refusalOf(const Selection &selection)
{
    Refusal refusal { RefusalReason::NoHealthyTarget, Verdict::NotRun, "no target in the region accepts requests" };
    if (selection.end == SelectionEnd::AllPaused) {
        refusal.reason = RefusalReason::NoCapacity;
        refusal.detail = "all targets in the region have asked for a pause";
    }
    if (selection.end == SelectionEnd::AllFull) {
        refusal.reason = RefusalReason::NoCapacity;
        refusal.detail = "all targets in the region are at capacity";
    }
    refusal.retryAt = selection.retryAt;
    return refusal;
}

ServiceTargets::Choice ServiceTargets::choose(Service &service, const RequestHead &head, const AnswerSink &sink,
                                              const std::set<TargetId> &excluded)
{
    std::unique_lock lock(service.mutex);
    const TimePoint start = m_clock.now();
    std::optional<Deadline> waitLimit;
    Choice choice;
    while (true) {
        const TimePoint now = m_clock.now();
        choice.selection = service.selector.select(now, service.random, excluded, head.isIdempotent);
        if (choice.selection.end == SelectionEnd::Selected) {
            choice.attempt = service.selector.begin(choice.selection, now);
            choice.target = service.targets.at(choice.selection.target);
            return choice;
        }
        if (!waitLimit) {
            const Deadline latestStart(head.deadline.at() - service.selector.baselineLatency(now));
            waitLimit = Deadline::after(start, m_settings.longestWait).earlier(latestStart);
        }
        if (!waitForCapacity(service, lock, choice.selection, *waitLimit, sink)) {
            return choice;
        }
    }
}

bool ServiceTargets::waitForCapacity(Service &service, std::unique_lock<std::mutex> &lock, const Selection &selection,
                                     Deadline waitLimit, const AnswerSink &sink)
{
    const TimePoint now = m_clock.now();
    // If more requests waited than there are slots, most of them would still be refused, only later.
    const bool isCrowded = service.waiting >= service.selector.regionUsage(now).slots;
    if (selection.end != SelectionEnd::AllFull || waitLimit.hasPassed(now) || isCrowded || sink.isCancelled()) {
        return false;
    }
    Deadline next = waitLimit.earlier(Deadline::after(now, capacityCheckInterval));
    if (selection.retryAt) {
        next = next.earlier(*selection.retryAt);
    }
    ++service.waiting;
    service.capacityMayExist.wait_for(lock, next.remaining(now) + Microseconds(1));
    --service.waiting;
    return true;
}

AttemptReport ServiceTargets::runAttempt(Service &service, const Choice &choice, const RequestHead &head,
                                         BodySource &body, AnswerSink &sink, const std::string &fingerprint)
{
    const auto inFlight = choice.target->noteStart(fingerprint);
    AttemptReport report = runLimited(service, choice, head, body, sink);
    if (report.end == AttemptEnd::ConnectionLost || report.end == AttemptEnd::AnswerCut) {
        checkForDeath(service, choice);
    }
    if (report.end == AttemptEnd::AnswerCut) {
        logEvent(TargetEvents::answerCut,
                 { { "target", choice.attempt.target }, { "detail", report.exchange.refusal->detail } });
    }
    if (report.end == AttemptEnd::Silent) {
        closeOldConnections(service, choice, report);
    }
    const bool hasAnswered = report.end == AttemptEnd::Answered || report.end == AttemptEnd::Shed;
    choice.target->noteEnd(inFlight, hasAnswered);
    noteEnd(service, choice, report);
    return report;
}

AttemptReport ServiceTargets::runLimited(Service &service, const Choice &choice, const RequestHead &head,
                                         BodySource &body, AnswerSink &sink)
{
    if (!choice.attempt.isTrial || !head.isIdempotent) {
        return choice.target->exchange().run(head, body, sink);
    }
    // A trial gets a shorter deadline, so that the request can still be run elsewhere if the target stays silent.
    RequestHead limited = head;
    {
        const std::lock_guard guard(service.mutex);
        const Microseconds timeout = silenceThreshold(service, choice.attempt.target);
        limited.deadline = head.deadline.earlier(Deadline::after(m_clock.now(), timeout));
    }
    AttemptReport report = choice.target->exchange().run(limited, body, sink);
    if (report.end == AttemptEnd::Silent && !head.deadline.hasPassed(m_clock.now())) {
        report.exchange.refusal->reason = RefusalReason::TargetFailed;
    }
    return report;
}

Microseconds ServiceTargets::silenceThreshold(const Service &service, const TargetId &target)
{
    const TargetState *state = service.selector.state(target);
    const Microseconds baseline = state == nullptr ? Microseconds(0) : state->baselineLatency();
    if (baseline == Microseconds(0)) {
        return silenceThresholdIfUnknown;
    }
    return std::max<Microseconds>(baseline * silenceFactor, leastSilenceThreshold);
}

void ServiceTargets::closeOldConnections(Service &service, const Choice &choice, const AttemptReport &report) const
{
    choice.target->pool().closeIdleBefore(report.sentAt);
    if (!report.wasReused || m_clock.now() - report.sentAt < leastSilenceThreshold) {
        return;
    }
    std::map<TargetId, RefPointer<TargetClient>> targets;
    {
        const std::lock_guard guard(service.mutex);
        targets = service.targets;
    }
    // The network fault that silenced an old connection may have silenced those to the other targets too, and each of
    // them would cost a request its whole deadline. It may have come at any time since the request was sent, so that
    // only connections on which an answer arrived lately are kept.
    const TimePoint lately = m_clock.now() - leastSilenceThreshold;
    for (const auto &[id, target] : targets) {
        target->pool().closeIdleBefore(lately);
    }
}

void ServiceTargets::noteEnd(Service &service, const Choice &choice, const AttemptReport &report)
{
    bool isEjected = false;
    {
        const std::lock_guard guard(service.mutex);
        const AttemptOutcome outcome = outcomeOf(service, report, choice.attempt);
        isEjected = service.selector.end(choice.attempt, outcome, report.latency, m_clock.now(), service.random);
        if (report.pausedUntil) {
            service.selector.notePause(choice.attempt.target, *report.pausedUntil);
        }
    }
    if (report.pausedUntil) {
        logEvent(TargetEvents::pauseRequested,
                 { { "target", choice.attempt.target },
                   { "milliseconds", millisecondsBetween(m_clock.now(), report.pausedUntil->at()) } });
    }
    service.capacityMayExist.notify_one();
    if (isEjected) {
        logEvent(TargetEvents::targetEjected,
                 { { "target", choice.attempt.target }, { "lastAttempt", nameOf(report.end) } });
    }
}

AttemptOutcome ServiceTargets::outcomeOf(const Service &service, const AttemptReport &report,
                                         const SelectedAttempt &attempt) const
{
    switch (report.end) {
    case AttemptEnd::Answered:
        if (report.pausedUntil) {
            return AttemptOutcome::Shed;
        }
        return report.status >= firstServerError ? AttemptOutcome::ServerError : AttemptOutcome::Success;
    case AttemptEnd::Shed:
        return AttemptOutcome::Shed;
    case AttemptEnd::ConnectFailed:
    case AttemptEnd::ConnectionLost:
    case AttemptEnd::AnswerCut:
        return AttemptOutcome::Failure;
    case AttemptEnd::Silent: {
        // A reused connection may be silent while new ones work, so only silence on a new connection counts as a fault
        // of the target.
        const bool isLong = m_clock.now() - report.sentAt >= silenceThreshold(service, attempt.target);
        const bool isFault = attempt.isTrial || (!report.wasReused && isLong);
        return isFault ? AttemptOutcome::Failure : AttemptOutcome::Nothing;
    }
    case AttemptEnd::OwnLimit:
    case AttemptEnd::CallerEnded:
        break;
    }
    return AttemptOutcome::Nothing;
}

void ServiceTargets::checkForDeath(Service &service, const Choice &choice)
{
    if (!refusesConnections(choice.target->pool().address(), m_clock)) {
        return;
    }
    // The fingerprints include this request, and others whose failure has not been noticed yet.
    std::optional<std::vector<std::string>> fingerprints = choice.target->noteDied();
    if (!fingerprints) {
        return;
    }
    choice.target->pool().closeIdleBefore(TimePoint::max());
    const TimePoint now = m_clock.now();
    TargetDeath death { choice.attempt.target, now, std::move(*fingerprints) };
    {
        const std::lock_guard guard(service.mutex);
        const TargetState *state = service.selector.state(choice.attempt.target);
        death.areAllKnown = state == nullptr || state->busySlots(now) <= static_cast<int>(death.fingerprints.size());
        service.selector.noteDied(choice.attempt.target, now, service.random);
    }
    logEvent(TargetEvents::targetDied,
             { { "target", death.target },
               { "inFlight", death.fingerprints.size() },
               { "areAllKnown", death.areAllKnown } });
    if (m_listener != nullptr) {
        m_listener->targetDied(death);
    }
}

void ServiceTargets::takeReport(const TargetReport &report)
{
    if (!m_reports.take(report)) {
        return;
    }
    for (const auto &[id, service] : services()) {
        const std::lock_guard guard(service->mutex);
        service->selector.takeReport(report);
    }
}

std::vector<TargetReport> ServiceTargets::ownReports() const
{
    std::vector<TargetReport> own = reports();
    std::erase_if(own, [this](const TargetReport &report) {
        return report.observer != m_settings.ownVm;
    });
    return own;
}

std::vector<TargetReport> ServiceTargets::reports() const
{
    return m_reports.reports(m_clock.now());
}

std::vector<RegionUsage> ServiceTargets::regionUsages() const
{
    std::vector<RegionUsage> all;
    for (const auto &[id, service] : services()) {
        const std::lock_guard guard(service->mutex);
        RegionUsage current = service->selector.regionUsage(m_clock.now());
        current.region = m_settings.region;
        current.service = id;
        all.push_back(std::move(current));
    }
    return all;
}

bool ServiceTargets::isSlow(const ServiceId &id) const
{
    const RefPointer<Service> service = find(id);
    if (!service) {
        return false;
    }
    const TimePoint now = m_clock.now();
    const std::lock_guard guard(service->mutex);
    std::size_t slow = 0;
    for (const auto &[target, client] : service->targets) {
        const TargetState *state = service->selector.state(target);
        const bool isKnown = state != nullptr && state->hasSamples(now);
        slow += isKnown && state->averageLatency() > slowFactor * state->baselineLatency() ? 1 : 0;
    }
    return slow * 2 > service->targets.size();
}

std::vector<ObservableTarget> ServiceTargets::observableTargets() const
{
    std::vector<ObservableTarget> targets;
    for (const auto &[id, service] : services()) {
        const std::lock_guard guard(service->mutex);
        for (const auto &[target, client] : service->targets) {
            targets.push_back({ target, client->pool().address() });
        }
    }
    return targets;
}

void ServiceTargets::tick()
{
    const TimePoint now = m_clock.now();
    for (const auto &[id, service] : services()) {
        std::vector<TargetId> ejected;
        {
            const std::lock_guard guard(service->mutex);
            ejected = service->selector.ejectOutliers(now, service->random);
            for (const auto &[target, client] : service->targets) {
                const TargetState *state = service->selector.state(target);
                if (state != nullptr && state->isDraining()) {
                    client->pool().close();
                } else {
                    client->pool().reopen();
                }
                client->pool().closeExpired(now);
            }
        }
        for (const TargetId &target : ejected) {
            logEvent(TargetEvents::targetEjected, { { "target", target }, { "lastAttempt", "outlier" } });
        }
    }
    m_reports.expire(now);
}

} // namespace Sapphire
