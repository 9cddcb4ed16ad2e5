#include <LibEntry/OperatorStateSynchronizer.h>

#include <LibCore/Duration.h>
#include <LibCore/Hash.h>
#include <LibEntry/EntryEvents.h>

#include <algorithm>
#include <utility>

namespace Sapphire {

namespace {

// A reader's call is a long poll, so that changes are known at once; a call that ends without a change confirms the
// state.
constexpr Milliseconds readerWait { 1'200 };
// Least time between the starts of two calls of a reader, whose long polls may return at once.
constexpr Milliseconds shortestReaderInterval { 100 };
// The time that a call may take beyond its wait.
constexpr Milliseconds callTime { 1'500 };
// A broadcast document has this long to arrive before a VM asks for it.
constexpr Milliseconds broadcastTime { 150 };
// Other VMs have this long to send what a VM lacks before it reads the platform.
constexpr Milliseconds peerSyncTime { 600 };

std::uint64_t digestOf(const OperatorState &state)
{
    std::string content = state.rules ? std::to_string(state.rules->version().value()) : "none";
    if (state.isConfigurationUnreadable) {
        // Other VMs must not take the rules that this VM keeps for the current ones. Which rules a VM keeps doesn't
        // matter: none can have better ones.
        content = "unreadable";
    }
    for (const AvailabilityZoneId &zone : state.evacuatedZones) {
        content += "\n" + zone.text();
    }
    return stableHash(content);
}

ReadScheduleSettings scheduleSettings()
{
    ReadScheduleSettings settings;
    settings.readerInterval = shortestReaderInterval;
    settings.peerSyncTimeout = peerSyncTime;
    return settings;
}

} // namespace

OperatorStateSynchronizer::OperatorStateSynchronizer(const SynchronizerContext &context, OperatorStateSource &source,
                                                     std::function<void(const OperatorState &)> onState)
    : SharedSourceSynchronizer(context, SourceKind::Rules, scheduleSettings())
    , m_source(source)
    , m_onState(std::move(onState))
{
}

OperatorStateSynchronizer::~OperatorStateSynchronizer()
{
    stop();
}

Result<SharedSourceSynchronizer::Task> OperatorStateSynchronizer::read(bool isReader)
{
    const Clock &clock = loop().clock();
    const TimePoint begunAt = clock.now();
    const Milliseconds wait = isReader ? readerWaitAt(begunAt) : Milliseconds(0);
    BOOST_LEAF_AUTO(state, m_source.next(wait, Deadline::after(begunAt, wait + callTime)));
    // The answer may have waited while this VM stood still, so that the time at which it is taken says nothing.
    const bool hasWaited = state.isUnchanged && clock.now() >= begunAt + wait;
    const TimePoint stateAt = hasWaited ? begunAt + wait : begunAt;
    m_lastChangeAt = hasWaited ? std::nullopt : std::optional(stateAt);
    return Task([this, current = state, stateAt] {
        applyState(current);
        const bool isNews = this->schedule().hasList() && m_applied.digest != this->schedule().digest();
        SourceUpdate update { SourceKind::Rules, m_applied.digest, stateAt, {}, {} };
        update.document = isNews ? m_state.document : std::string();
        update.revision = m_applied.revision;
        finishRead({ update });
    });
}

Milliseconds OperatorStateSynchronizer::readerWaitAt(TimePoint now) const
{
    if (!m_lastChangeAt) {
        return readerWait;
    }
    // Other VMs would read for themselves if the state were confirmed later than after the usual wait.
    const auto sinceChange = std::chrono::duration_cast<Milliseconds>(now - *m_lastChangeAt);
    return std::max(readerWait - sinceChange, Milliseconds(0));
}

void OperatorStateSynchronizer::applyState(const OperatorState &state)
{
    // Two threads post states, so that an older one may come later.
    if (state.revision < m_applied.revision) {
        return;
    }
    m_applied = { digestOf(state), state.revision };
    m_state = state;
    passOn(state);
}

void OperatorStateSynchronizer::passOn(const OperatorState &state)
{
    const SourceEpoch before = m_guard.epoch();
    const OperatorState inForce = m_guard.take(state, loop().now());
    const std::size_t keptEvacuations = inForce.evacuatedZones.size() - state.evacuatedZones.size();
    const bool isConfigurationLost = m_guard.isAwaitingRewrite(loop().now());
    if (m_guard.epoch() != before && (isConfigurationLost || keptEvacuations > 0)) {
        logEvent(EntryEvents::operatorStateKept,
                 { { "epoch", m_guard.epoch() },
                   { "configuration", state.rules ? state.rules->version() : ConfigurationVersion() },
                   { "configurationLost", isConfigurationLost },
                   { "keptEvacuations", keptEvacuations } });
    }
    m_onState(inForce);
}

void OperatorStateSynchronizer::applyUpdate(const SourceUpdate &update)
{
    if (update.document.empty()) {
        m_origin = update.origin;
        finishUpdate(update);
        return;
    }
    storePending(update);
}

void OperatorStateSynchronizer::storePending(const SourceUpdate &update)
{
    {
        const std::lock_guard guard(m_pendingMutex);
        if (m_pendingUpdate && m_pendingUpdate->revision > update.revision) {
            return;
        }
        m_pendingUpdate = update;
    }
    wake();
}

std::optional<SharedSourceSynchronizer::Task> OperatorStateSynchronizer::processPendingUpdate()
{
    std::optional<SourceUpdate> pending;
    {
        const std::lock_guard guard(m_pendingMutex);
        pending = std::exchange(m_pendingUpdate, std::nullopt);
    }
    if (!pending) {
        return std::nullopt;
    }
    Outcome<OperatorState> adopted = capture([&] {
        return m_source.adopt(pending->document);
    });
    if (adopted) {
        adopted.value().origin = pending->origin;
    }
    return Task([this, update = std::move(*pending), adopted] {
        if (adopted) {
            applyState(adopted.value());
            schedule().noteReceived(m_applied.digest, m_applied.revision);
        }
        finishUpdate(update);
    });
}

RulesStatus OperatorStateSynchronizer::status() const
{
    return { schedule().digest(), schedule().revision() };
}

void OperatorStateSynchronizer::takeStatus(const VmId &vm, const RulesStatus &status)
{
    const std::uint64_t wantedBefore = schedule().wantedDigest();
    schedule().noteListOfOther(status.digest, status.revision, loop().now());
    if (schedule().wantedDigest() != wantedBefore) {
        m_origin = vm;
    }
}

void OperatorStateSynchronizer::requestSync(std::size_t)
{
    const TimePoint now = loop().now();
    if (m_guard.mustRelease(now)) {
        passOn(m_state);
    }
    noteEpoch();
    // At its start a VM reads the platform, and asks others only if it can't.
    const bool isNeeded = schedule().isIncomplete() && (schedule().hasList() || schedule().hasFailed());
    if (!isNeeded) {
        m_syncRequests.reset();
        m_nextSyncPeer = SyncPeer::OfOwnZone;
        return;
    }
    const bool mayArriveYet = schedule().hasList() && behindFor() < broadcastTime;
    if (mayArriveYet || m_syncRequests.next(now) == SyncRequestPolicy::Choice::Nobody) {
        return;
    }
    const VmId syncPeer = nextSyncPeer();
    if (!syncPeer.isEmpty() && syncPeer != context().own) {
        context().peers.requestRules(syncPeer, schedule().hasList() ? schedule().digest() : 0);
    }
}

void OperatorStateSynchronizer::noteEpoch()
{
    const SourceEpoch before = std::exchange(m_epoch, epoch());
    if (m_epoch > before && before != SourceEpoch()) {
        logEvent(EntryEvents::platformEpochRisen, { { "epoch", m_epoch }, { "before", before } });
        m_onEpochRisen();
    }
}

VmId OperatorStateSynchronizer::nextSyncPeer()
{
    switch (m_nextSyncPeer) {
    case SyncPeer::OfOwnZone: {
        m_nextSyncPeer = SyncPeer::Origin;
        std::vector<VmId> vms;
        for (const VmRecord &peer : context().roster.peersInZone()) {
            if (context().roster.isServing(peer.vm, loop().now())) {
                vms.push_back(peer.vm);
            }
        }
        return randomVm(vms);
    }
    case SyncPeer::Origin:
        m_nextSyncPeer = SyncPeer::OfOwnRegion;
        return m_origin;
    case SyncPeer::OfOwnRegion:
        m_nextSyncPeer = SyncPeer::OfOwnZone;
        return randomVm(context().roster.readersOf(sourceName(), loop().now()));
    }
    return {};
}

VmId OperatorStateSynchronizer::randomVm(const std::vector<VmId> &vms)
{
    return vms.empty() ? VmId() : vms[m_random.below(vms.size())];
}

void OperatorStateSynchronizer::answerRulesRequest(const VmId &asker, std::uint64_t digest)
{
    if (!schedule().hasList()) {
        return;
    }
    SourceUpdate reply { SourceKind::Rules, schedule().digest(), schedule().confirmedAt(), {}, {} };
    reply.revision = schedule().revision();
    if (reply.digest != digest) {
        reply.document = m_state.document;
    }
    context().peers.sendRules(asker, reply);
}

void OperatorStateSynchronizer::takeRulesReply(const SourceUpdate &reply)
{
    const bool isNeeded = schedule().isIncomplete() && reply.digest != schedule().digest();
    if (!isNeeded || reply.document.empty()) {
        m_syncRequests.noteEmptyAnswer(loop().now());
        return;
    }
    logEvent(EntryEvents::listTakenOver,
             { { "list", sourceName() },
               { "digest", reply.digest },
               { "first", !schedule().hasList() },
               { "ageMilliseconds", millisecondsBetween(reply.readAt, loop().now()) } });
    m_syncRequests.noteProgress(loop().now());
    storePending(reply);
}

} // namespace Sapphire
