#pragma once

#include <LibCore/Clock.h>
#include <LibCore/RandomSource.h>
#include <LibExchange/Refusal.h>
#include <LibRequest/ClaimJournal.h>
#include <LibRequest/ClaimTable.h>
#include <LibRequest/IssuedRequestId.h>

#include <map>
#include <mutex>
#include <variant>

namespace Sapphire {

/// Ensures that a request id runs at most once, and provides the recorded answer if the request is repeated.
/// An id that a look-up issued can only run in its issuer, which checks it in memory and records it through the
/// journal. An id that the caller chose may arrive at any VM and is claimed in the table first. Safe to call from any
/// thread.
class RequestLedger
{
public:
    struct Settings
    {
        VmIncarnation process;
        /// Limit of the records in memory; further issued ids are refused as not run.
        std::size_t mostRecords { 200'000 };
    };

    RequestLedger(ClaimTable &table, ClaimJournal &journal, const Clock &clock, Settings settings);

    /// The request may be dispatched once; finish() must follow.
    struct Started
    {
    };
    /// The request has run; its recorded answer can be sent.
    struct Replay
    {
        RecordedAnswer answer;
    };
    using BeginResult = std::variant<Started, Replay, Refusal>;

    /// Claims the id. A request whose id was issued by another live process must be forwarded there instead.
    BeginResult begin(const RequestKey &key, Deadline requestDeadline);
    /// Records how the request ended; the answer is kept if the verdict is Ran.
    void finish(const RequestKey &key, Verdict verdict, RecordedAnswer answer);

    /// Returns the state of an id, from memory or from the table; MayHaveRun if it can't be determined.
    RequestRecord state(const RequestKey &key, Deadline deadline);
    /// Returns the record in memory, if there is one.
    std::optional<RequestRecord> stateInMemory(const RequestKey &key) const;

    /// Returns a prefix for ids that only this process may run.
    std::string issuedPrefix() const;
    std::size_t recordCount() const;

private:
    struct Entry
    {
        RequestRecord record;
        std::optional<RowTag> tag;
        bool isIssued { false };
        Deadline keepUntil;
    };

    BeginResult beginIssued(const RequestKey &key, const IssuedRequestId &issued);
    BeginResult beginCallerChosen(const RequestKey &key, Deadline requestDeadline);
    BeginResult beginOrphaned(const RequestKey &key, Deadline requestDeadline);
    /// Returns how to answer a repeated id; nothing if the id is not in memory or may run again.
    std::optional<BeginResult> answerFromMemory(const RequestKey &key) const;
    BeginResult refuse(RefusalReason reason, Verdict verdict, const std::string &detail, Milliseconds retryAfter) const;
    BeginResult answerFrom(const RequestRecord &record) const;
    void forgetExpired(TimePoint now);
    Microseconds wallTime() const;
    std::string newNonce();

    ClaimTable &m_table;
    ClaimJournal &m_journal;
    const Clock &m_clock;
    Settings m_settings;
    /// Wall time minus boot time at the start. Later steps of the wall clock are ignored: setting it back must not make
    /// an old id current again.
    Microseconds m_wallOffset;
    mutable std::mutex m_mutex;
    RandomSource m_random;
    std::map<RequestKey, Entry> m_entries;
    /// Finished entries, ordered by keepUntil.
    std::multimap<Deadline, RequestKey> m_expiries;
};

} // namespace Sapphire
