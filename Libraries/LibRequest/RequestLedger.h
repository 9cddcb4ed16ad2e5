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

/// Makes sure that a request id runs at most once. Safe to call from any thread.
class RequestLedger
{
public:
    struct Settings
    {
        VmIncarnation process;
        /// Records kept in memory; issued ids beyond it are refused as not run.
        std::size_t mostRecords { 200'000 };
    };

    RequestLedger(ClaimTable &table, ClaimJournal &journal, const Clock &clock, Settings settings);

    /// The request may be dispatched once; finish() must follow.
    struct Started
    {
    };
    /// The request has run, and its answer can be sent again.
    struct Replay
    {
        RecordedAnswer answer;
    };
    using BeginResult = std::variant<Started, Replay, Refusal>;

    /// Claims the id. An id issued by another process that still lives must be forwarded there instead.
    BeginResult begin(const RequestKey &key, Deadline requestDeadline);
    /// Records how the request ended; the answer is kept if the verdict is Ran.
    void finish(const RequestKey &key, Verdict verdict, RecordedAnswer answer);

    /// Returns what this VM knows of an id, from memory or from the table. MayHaveRun if that can't be known.
    RequestRecord state(const RequestKey &key, Deadline deadline);
    /// Returns what this VM has in memory.
    std::optional<RequestRecord> stateInMemory(const RequestKey &key) const;

    /// Returns the prefix of ids bound to this process.
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
    BeginResult beginFree(const RequestKey &key, Deadline requestDeadline);
    BeginResult beginOrphaned(const RequestKey &key, Deadline requestDeadline);
    /// Returns nothing if the id is not in memory or may run again, else how to answer.
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
    /// Wall time minus boot time at the start: a wall clock that is set back later must not make an old id current
    /// again.
    Microseconds m_wallOffset;
    mutable std::mutex m_mutex;
    RandomSource m_random;
    std::map<RequestKey, Entry> m_entries;
    /// Finished entries by their keepUntil.
    std::multimap<Deadline, RequestKey> m_expiries;
};

} // namespace Sapphire
