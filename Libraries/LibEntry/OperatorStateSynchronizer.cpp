#include <LibEntry/OperatorStateSynchronizer.h>

#include <LibCore/Hash.h>

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

Result<SharedSourceSynchronizer::Task> OperatorStateSynchronizer::read(bool isReader)
{
    const Milliseconds wait = isReader ? readerWait : Milliseconds(0);
    const Clock &clock = loop().clock();
    BOOST_LEAF_AUTO(state, m_source.next(wait, Deadline::after(clock.now(), wait + callTime)));
    // The platform reads the state when a long poll ends, so that this is the time of the state.
    const TimePoint answeredAt = clock.now();
    return Task([this, current = state, answeredAt] {
        applyState(current);
        const bool isNews = this->schedule().hasList() && m_appliedDigest != this->schedule().digest();
        SourceUpdate update { SourceKind::Rules, m_appliedDigest, answeredAt, {}, {} };
        update.document = isNews ? m_document : std::string();
        update.revision = m_appliedRevision;
        finishRead({ update });
    });
}

void OperatorStateSynchronizer::applyState(const OperatorState &state)
{
    // Two threads post states, so that an older one may come later.
    if (state.revision < m_appliedRevision) {
        return;
    }
    m_appliedDigest = digestOf(state);
    m_appliedRevision = state.revision;
    m_document = state.document;
    m_onState(state);
}

void OperatorStateSynchronizer::applyUpdate(const SourceUpdate &update)
{
    if (update.document.empty()) {
        finishUpdate(update);
        return;
    }
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
            schedule().noteReceived(m_appliedDigest, m_appliedRevision);
        }
        finishUpdate(update);
    });
}

} // namespace Sapphire
