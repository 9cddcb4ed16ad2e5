#include <LibCaller/RegionRouter.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace Sapphire {

namespace {

constexpr Milliseconds noCapacityRetryDelay { 250 };
constexpr Milliseconds noVmRetryDelay { 1'000 };

bool isCapacityRefusal(const ExchangeReport &report)
{
    if (!report.refusal) {
        return false;
    }
    const RefusalReason reason = report.refusal->reason;
    return reason == RefusalReason::NoCapacity || reason == RefusalReason::NoHealthyTarget
        || reason == RefusalReason::RetryBudgetSpent;
}

} // namespace

Fingerprint fingerprintOf(const RequestHead &head, const std::string &bodyBeginning)
{
    const std::string identity = head.customer.text() + '\n' + head.service.text() + '\n' + head.method + '\n'
        + head.path + '\n' + bodyBeginning;
    return Fingerprint(sha256Hex(identity).substr(0, 32));
}

RegionRouter::RegionRouter(Parts parts, VmId ownVm, RegionId ownRegion)
    : m_parts(parts)
    , m_ownVm(std::move(ownVm))
    , m_ownRegion(std::move(ownRegion))
    , m_random(RandomSource::seededBySystem())
{
}

RegionSteeringSettings RegionRouter::settingsOf(const ServiceId &service) const
{
    const std::shared_ptr<const Configuration> configuration = m_parts.configuration.configuration();
    RegionSteeringSettings settings;
    settings.ownRegion = m_ownRegion;
    const auto region = configuration->regions.find(m_ownRegion);
    if (region != configuration->regions.end()) {
        settings.fallbacks = region->second.fallbacks;
    }
    const auto record = configuration->services.find(service);
    if (record != configuration->services.end()) {
        settings.shiftCap = record->second.shiftCap;
        settings.shiftInterval = record->second.shiftInterval;
        settings.regionLimit = record->second.regionLimit;
    }
    return settings;
}

RegionSteering &RegionRouter::steeringOf(const ServiceId &service)
{
    const auto found = m_steering.find(service);
    if (found != m_steering.end()) {
        return found->second;
    }
    return m_steering.emplace(service, RegionSteering(settingsOf(service))).first->second;
}

void RegionRouter::adjust(const std::vector<RegionUsage> &reportedUsages,
                          const std::function<bool(const ServiceId &)> &isOwnRegionSlow)
{
    const TimePoint now = m_parts.clock.now();
    std::map<RegionId, std::size_t> vmsByRegion;
    std::size_t vmCount = 0;
    for (const RosterVm &vm : m_parts.roster.vms(now)) {
        if (!vm.isSuspect) {
            ++vmsByRegion[vm.locality.region];
            ++vmCount;
        }
    }
    const std::shared_ptr<const Configuration> configuration = m_parts.configuration.configuration();
    const std::lock_guard guard(m_mutex);
    m_regionUsages = reportedUsages;
    for (const auto &[service, record] : configuration->services) {
        RegionSteering::Observation observation;
        std::copy_if(reportedUsages.begin(), reportedUsages.end(), std::back_inserter(observation.reportedUsages),
                     [&id = service](const RegionUsage &usage) {
                         return usage.service == id;
                     });
        // Every VM outside a region may send requests to it; the smallest region has the most VMs outside.
        std::size_t smallestRegion = vmCount;
        for (const auto &[region, count] : vmsByRegion) {
            smallestRegion = region == m_ownRegion ? smallestRegion : std::min(smallestRegion, count);
        }
        observation.sendingVms = std::max<std::size_t>(1, vmCount - smallestRegion);
        observation.isOwnRegionSlow = isOwnRegionSlow(service);
        RegionSteering &steering = steeringOf(service);
        steering.configure(settingsOf(service));
        steering.adjust(observation, now, m_random);
    }
    m_suspects.expire(now);
}

std::map<RegionId, Share> RegionRouter::weights(const ServiceId &service) const
{
    std::map<RegionId, Share> result;
    const std::shared_ptr<const Configuration> configuration = m_parts.configuration.configuration();
    const std::lock_guard guard(m_mutex);
    const auto found = m_steering.find(service);
    for (const auto &[region, record] : configuration->regions) {
        result[region] = found == m_steering.end() ? Share(region == m_ownRegion ? wholeShare.value() : 0)
                                                   : found->second.weight(region);
    }
    return result;
}

void RegionRouter::noteDeath(std::vector<Fingerprint> running, bool areAllKnown)
{
    const std::lock_guard guard(m_mutex);
    m_suspects.noteDeath(std::move(running), areAllKnown, m_parts.clock.now());
    m_onSuspect();
}

void RegionRouter::mergeSuspect(const CrashSuspect &suspect)
{
    const std::lock_guard guard(m_mutex);
    if (m_suspects.merge(suspect, m_parts.clock.now())) {
        m_onSuspect();
    }
}

void RegionRouter::setSuspectListener(std::function<void()> listener)
{
    const std::lock_guard guard(m_mutex);
    m_onSuspect = std::move(listener);
}

std::vector<CrashSuspect> RegionRouter::suspectsSeenAfter(TimePoint after) const
{
    const std::lock_guard guard(m_mutex);
    return m_suspects.seenAfter(after, m_parts.clock.now());
}

bool RegionRouter::tryRetry(const RequestHead &head, const Fingerprint &fingerprint)
{
    const std::lock_guard guard(m_mutex);
    // The previous attempts may have made the request a crash suspect.
    const bool isSuspect = m_suspects.isRefused(fingerprint, head.isIdempotent, m_parts.clock.now());
    return !isSuspect && m_retryBudget.tryRetry(head.customer, head.service);
}

std::optional<Refusal> RegionRouter::refuseSuspect(const RequestHead &head, const Fingerprint &fingerprint) const
{
    const std::lock_guard guard(m_mutex);
    if (!m_suspects.isRefused(fingerprint, head.isIdempotent, m_parts.clock.now())) {
        return std::nullopt;
    }
    return Refusal { RefusalReason::SuspectedCrash,
                     Verdict::NotRun,
                     "targets died while they ran this request; it is not sent to another one",
                     {},
                     {} };
}

std::optional<VmId> RegionRouter::chooseVm(const RegionId &region)
{
    std::vector<VmId> candidates;
    for (const RosterVm &vm : m_parts.roster.vms(m_parts.clock.now())) {
        if (vm.locality.region == region && !vm.isSuspect && !vm.isLeaving && vm.isFresh) {
            candidates.push_back(vm.process.vm);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const std::lock_guard guard(m_mutex);
    return candidates[m_random.below(candidates.size())];
}

ExchangeReport RegionRouter::runLocally(const RequestHead &head, BodySource &body, AnswerSink &sink,
                                        const Fingerprint &fingerprint, bool mayRetry)
{
    return m_parts.localTargets.run(head, body, sink, { mayRetry, fingerprint });
}

ExchangeReport RegionRouter::runInRegion(const RegionId &region, const RequestHead &head, BodySource &body,
                                         AnswerSink &sink)
{
    const std::optional<VmId> vm = chooseVm(region);
    if (!vm) {
        const Deadline retryAt = Deadline::after(m_parts.clock.now(), noVmRetryDelay);
        return { Refusal { RefusalReason::NoCapacity,
                           Verdict::NotRun,
                           "no VM of region " + region.text() + " can be reached",
                           retryAt,
                           {} },
                 false };
    }
    Span span = m_parts.tracer.startSpan("forward", SpanKind::Client, head.trace);
    span.setAttribute("sapphire.region", region.text());
    span.setAttribute("sapphire.vm", vm->text());
    RequestHead forwarded = head;
    forwarded.trace = span.context();
    ExchangeReport report = m_parts.peers.forward(*vm, forwarded, body, sink);
    if (report.refusal) {
        span.setFailed(std::string(nameOf(report.refusal->reason)));
    }
    return report;
}

ExchangeReport RegionRouter::route(const RequestHead &head, BodySource &body, AnswerSink &sink,
                                   const Fingerprint &fingerprint)
{
    if (std::optional<Refusal> refusal = refuseSuspect(head, fingerprint)) {
        return { std::move(refusal), false };
    }
    RegionSteering::Choice choice;
    Deadline nextAdjustment;
    {
        const std::lock_guard guard(m_mutex);
        m_retryBudget.noteRequest(head.customer, head.service);
        RegionSteering &steering = steeringOf(head.service);
        choice = steering.choose(m_random);
        nextAdjustment = steering.nextAdjustment();
    }
    const bool isLocal = choice.region == m_ownRegion;
    ExchangeReport report =
        isLocal ? runLocally(head, body, sink, fingerprint, true) : runInRegion(choice.region, head, body, sink);
    const bool lacksCapacity = isCapacityRefusal(report);
    {
        const std::lock_guard guard(m_mutex);
        steeringOf(head.service).finished(choice.region, lacksCapacity);
        if (!report.refusal) {
            m_suspects.noteAnswered(fingerprint, m_parts.clock.now());
        }
    }
    if (lacksCapacity && report.refusal->reason == RefusalReason::NoHealthyTarget) {
        // Traffic shifts to other regions only as fast as the cap allows.
        report.refusal->reason = RefusalReason::ShiftCap;
        report.refusal->retryAt = nextAdjustment;
    }
    m_parts.metrics
        .counter("sapphire_routed_total",
                 "service=\"" + head.service.text() + "\",region=\"" + choice.region.text() + "\"")
        .add();
    return report;
}

ExchangeReport RegionRouter::runForwarded(const RequestHead &head, BodySource &body, AnswerSink &sink,
                                          const Fingerprint &fingerprint)
{
    if (std::optional<Refusal> refusal = refuseSuspect(head, fingerprint)) {
        return { std::move(refusal), false };
    }
    const RegionSteeringSettings settings = settingsOf(head.service);
    {
        const std::lock_guard guard(m_mutex);
        const auto usage =
            std::find_if(m_regionUsages.begin(), m_regionUsages.end(), [&](const RegionUsage &candidate) {
                return candidate.region == m_ownRegion && candidate.service == head.service;
            });
        const std::int64_t limit = usage == m_regionUsages.end() ? 0 : usage->slots * settings.regionLimit.value();
        if (usage == m_regionUsages.end() || usage->busy * wholeShare.value() >= limit) {
            const Deadline retryAt = Deadline::after(m_parts.clock.now(), noCapacityRetryDelay);
            return { Refusal { RefusalReason::NoCapacity,
                               Verdict::NotRun,
                               "region " + m_ownRegion.text() + " has no capacity for requests of other regions",
                               retryAt,
                               {} },
                     false };
        }
    }
    // The VM that the caller contacted decides on retries. Retries at a second level would multiply them.
    return runLocally(head, body, sink, fingerprint, false);
}

} // namespace Sapphire
