#pragma once

#include <LibCore/BoundedRing.h>
#include <LibCore/Clock.h>
#include <LibRequest/ClaimTable.h>

#include <atomic>
#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace Sapphire {

/// Writes claims and results of requests to the claim table in the background, and retries until the store accepts
/// them. If several records of a request id are waiting, only the newest is written.
class ClaimJournal
{
public:
    ClaimJournal(ClaimTable &table, const Clock &clock);
    /// Discards the records that have not been written.
    ~ClaimJournal();

    /// Queues a record. If the ring is full, logs that and returns false; the row is then missing or out of date.
    bool submit(const RequestKey &key, const RequestRecord &record, const std::optional<RowTag> &tag);
    /// Waits until all queued records are written. Returns false if the deadline passes first.
    bool flush(Deadline deadline);
    std::size_t pendingCount() const
    {
        return m_pending;
    }

private:
    struct Item
    {
        RequestKey key;
        RequestRecord record;
        std::optional<RowTag> tag;
    };

    /// A writer thread with its queue. Each request id belongs to one lane, so that its records are written in order.
    struct Lane
    {
        Lane();

        BoundedRing<Item> ring;
        std::map<RequestKey, Item> waiting {};
        /// Tags of the rows whose requests are still running.
        std::map<RequestKey, RowTag> tags {};
        std::thread thread {};
    };

    void runLane(Lane &lane);
    void enqueue(Lane &lane, Item item);
    /// Returns false if the write has to be retried after a pause. A conflict is logged and not retried.
    bool write(Lane &lane, const Item &item);

    ClaimTable &m_table;
    const Clock &m_clock;
    std::atomic<std::size_t> m_pending { 0 };
    std::atomic<bool> m_isStopping { false };
    std::vector<std::unique_ptr<Lane>> m_lanes;
};

} // namespace Sapphire
