#include <LibRequest/RequestLedger.h>

namespace Sapphire {

namespace {

constexpr Milliseconds storeTimeout { 2'000 };
constexpr Milliseconds releaseTimeout { 500 };
// Finished records of caller-chosen ids are in the table, so memory only has to cover the time until the journal has
// written them.
constexpr Milliseconds callerChosenRecordLifetime { 120'000 };
// Issued ids are refused after an hour; the record is kept longer, by the time that a request may take.
constexpr Milliseconds issuedRecordLifetime { 2 * 3'600'000 };
constexpr Milliseconds retryAfterRunning { 500 };
constexpr Milliseconds retryAfterUnavailable { 2'000 };
constexpr std::size_t nonceDigits = 16;

} // namespace

RequestLedger::RequestLedger(ClaimTable &table, ClaimJournal &journal, const Clock &clock, Settings settings)
    : m_table(table)
    , m_journal(journal)
    , m_clock(clock)
    , m_settings(std::move(settings))
    , m_wallOffset(clock.wallTime() - clock.now().time_since_epoch())
    , m_random(RandomSource::seededBySystem())
{
}

std::string RequestLedger::newNonce()
{
    const std::lock_guard guard(m_mutex);
    return m_random.hexDigits(nonceDigits);
}

Microseconds RequestLedger::wallTime() const
{
    return m_clock.now().time_since_epoch() + m_wallOffset;
}

RequestLedger::BeginResult RequestLedger::refuse(RefusalReason reason, Verdict verdict, const std::string &detail,
                                                 Milliseconds retryAfter) const
{
    return Refusal { reason, verdict, detail, Deadline::after(m_clock.now(), retryAfter), {} };
}

RequestLedger::BeginResult RequestLedger::answerFrom(const RequestRecord &record) const
{
    switch (record.state) {
    case RequestState::Ran:
        if (record.answer.isWhole) {
            return Replay { record.answer };
        }
        return Refusal { RefusalReason::RequestIdInUse,
                         Verdict::Ran,
                         "the request has run; its answer was too long to be kept",
                         {},
                         {} };
    case RequestState::Running:
        return refuse(RefusalReason::RequestIdInUse, Verdict::MayHaveRun, "a request with this id is running",
                      retryAfterRunning);
    case RequestState::MayHaveRun:
    case RequestState::NotRun:
        break;
    }
    return Refusal {
        RefusalReason::RequestIdInUse, Verdict::MayHaveRun, "a request with this id may have run", {}, {}
    };
}

std::optional<RequestLedger::BeginResult> RequestLedger::answerFromMemory(const RequestKey &key) const
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || found->second.record.state == RequestState::NotRun) {
        return std::nullopt;
    }
    return answerFrom(found->second.record);
}

RequestLedger::BeginResult RequestLedger::begin(const RequestKey &key, Deadline requestDeadline)
{
    const std::optional<IssuedRequestId> issued = IssuedRequestId::parse(key.id);
    if (!issued) {
        return beginCallerChosen(key, requestDeadline);
    }
    if (issued->issuer() == m_settings.process) {
        return beginIssued(key, *issued);
    }
    return beginOrphaned(key, requestDeadline);
}

RequestLedger::BeginResult RequestLedger::beginIssued(const RequestKey &key, const IssuedRequestId &issued)
{
    const TimePoint now = m_clock.now();
    RequestRecord record { RequestState::Running, m_settings.process, 1, newNonce(), {} };
    std::optional<RowTag> tag;
    {
        const std::lock_guard guard(m_mutex);
        forgetExpired(now);
        if (std::optional<BeginResult> answer = answerFromMemory(key)) {
            return std::move(*answer);
        }
        if (!issued.isCurrent(wallTime())) {
            return Refusal { RefusalReason::BadRequest,
                             Verdict::MayHaveRun,
                             "the request id was issued over an hour ago; look up a new one",
                             {},
                             {} };
        }
        const auto found = m_entries.find(key);
        if (found != m_entries.end()) {
            record.attempt = found->second.record.attempt + 1;
            // The row of the earlier attempt belongs to this process; keeping its nonce lets the journal replace it.
            record.nonce = found->second.record.nonce;
            tag = found->second.tag;
        } else if (m_entries.size() >= m_settings.mostRecords) {
            return refuse(RefusalReason::NoCapacity, Verdict::NotRun, "this VM holds the maximum number of request ids",
                          retryAfterUnavailable);
        }
        m_entries[key] = Entry { record, tag, true, Deadline::never() };
    }
    m_journal.submit(key, record, tag);
    return Started {};
}

RequestLedger::BeginResult RequestLedger::beginCallerChosen(const RequestKey &key, Deadline requestDeadline)
{
    const RequestRecord pending { RequestState::Running, m_settings.process, 1, newNonce(), {} };
    {
        const std::lock_guard guard(m_mutex);
        forgetExpired(m_clock.now());
        if (std::optional<BeginResult> answer = answerFromMemory(key)) {
            return std::move(*answer);
        }
        m_entries[key] = Entry { pending, {}, false, Deadline::never() };
    }
    const Outcome<ClaimTable::Claim> claim = capture([&] {
        return m_table.claim(key, m_settings.process, pending.nonce,
                             requestDeadline.earlier(Deadline::after(m_clock.now(), storeTimeout)));
    });
    if (claim && claim.value().isMine) {
        const std::lock_guard guard(m_mutex);
        m_entries[key] = Entry { claim.value().record, claim.value().tag, false, Deadline::never() };
        return Started {};
    }
    {
        const std::lock_guard guard(m_mutex);
        m_entries.erase(key);
    }
    if (claim) {
        return answerFrom(claim.value().record);
    }
    if (claim.error().verdict != Verdict::NotRun) {
        // The claim may have been written; unless released, it would block the id for good although nothing ran.
        RequestRecord released = pending;
        released.state = RequestState::NotRun;
        m_journal.submit(key, released, {});
    }
    // This attempt has not run, but an earlier one with the same id may have; only the store can tell.
    return refuse(
        RefusalReason::StoreUnavailable, Verdict::MayHaveRun,
        "this attempt has not run; whether an earlier one has run is unknown while the store can't be read. Ids that "
        "start with a look-up's requestIdPrefix don't need the store",
        retryAfterUnavailable);
}

RequestLedger::BeginResult RequestLedger::beginOrphaned(const RequestKey &key, Deadline requestDeadline)
{
    const RequestRecord record = state(key, requestDeadline);
    if (record.state == RequestState::Ran) {
        return answerFrom(record);
    }
    return Refusal { RefusalReason::IssuerUnreachable,
                     Verdict::MayHaveRun,
                     "the process that issued the request id is gone; the request may have run",
                     {},
                     {} };
}

void RequestLedger::finish(const RequestKey &key, Verdict verdict, RecordedAnswer answer)
{
    RequestRecord record;
    std::optional<RowTag> tag;
    bool isIssued = false;
    {
        const std::lock_guard guard(m_mutex);
        const auto found = m_entries.find(key);
        if (found == m_entries.end()) {
            return;
        }
        Entry &entry = found->second;
        switch (verdict) {
        case Verdict::NotRun:
            entry.record.state = RequestState::NotRun;
            break;
        case Verdict::MayHaveRun:
            entry.record.state = RequestState::MayHaveRun;
            break;
        case Verdict::Ran:
            entry.record.state = RequestState::Ran;
            entry.record.answer = std::move(answer);
            break;
        }
        entry.keepUntil =
            Deadline::after(m_clock.now(), entry.isIssued ? issuedRecordLifetime : callerChosenRecordLifetime);
        m_expiries.emplace(entry.keepUntil, key);
        record = entry.record;
        tag = entry.tag;
        isIssued = entry.isIssued;
    }
    if (isIssued || verdict != Verdict::NotRun) {
        m_journal.submit(key, record, tag);
        return;
    }
    // Release the claim before the caller is told "not run", since it may send the id to another VM at once.
    const Outcome<RowTag> released = capture([&] {
        return m_table.update(key, record, tag, Deadline::after(m_clock.now(), releaseTimeout));
    });
    if (!released) {
        m_journal.submit(key, record, tag);
    }
    const std::lock_guard guard(m_mutex);
    m_entries.erase(key);
}

std::optional<RequestRecord> RequestLedger::stateInMemory(const RequestKey &key) const
{
    const std::lock_guard guard(m_mutex);
    const auto found = m_entries.find(key);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    return found->second.record;
}

RequestRecord RequestLedger::state(const RequestKey &key, Deadline deadline)
{
    if (std::optional<RequestRecord> record = stateInMemory(key)) {
        return std::move(*record);
    }
    const std::optional<IssuedRequestId> issued = IssuedRequestId::parse(key.id);
    if (issued && issued->issuer() == m_settings.process && issued->isCurrent(wallTime())) {
        // Only this process may run the id, and it still remembers every current id that it ran.
        return { RequestState::NotRun, m_settings.process, 0, {}, {} };
    }
    const Outcome<std::optional<RequestRecord>> stored = capture([&] {
        return m_table.read(key, deadline.earlier(Deadline::after(m_clock.now(), storeTimeout)));
    });
    if (stored && stored.value()) {
        RequestRecord record = *stored.value();
        // The holder is another process, and whether it still runs the request is not known here. The row of an issued
        // id may be older than the latest attempt, since the issuer doesn't wait for the journal.
        if (record.state == RequestState::Running || (issued && record.state == RequestState::NotRun)) {
            record.state = RequestState::MayHaveRun;
        }
        return record;
    }
    if (stored && !issued) {
        return { RequestState::NotRun, {}, 0, {}, {} };
    }
    return { RequestState::MayHaveRun, issued ? issued->issuer() : VmIncarnation {}, 0, {}, {} };
}

std::string RequestLedger::issuedPrefix() const
{
    return IssuedRequestId::prefix(m_settings.process, wallTime());
}

std::size_t RequestLedger::recordCount() const
{
    const std::lock_guard guard(m_mutex);
    return m_entries.size();
}

void RequestLedger::forgetExpired(TimePoint now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first.hasPassed(now)) {
        const auto found = m_entries.find(m_expiries.begin()->second);
        if (found != m_entries.end() && found->second.keepUntil.hasPassed(now)) {
            m_entries.erase(found);
        }
        m_expiries.erase(m_expiries.begin());
    }
}

} // namespace Sapphire
