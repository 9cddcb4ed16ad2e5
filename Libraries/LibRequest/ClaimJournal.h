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

/// Writes claims and results to the table behind the requests, and again until the store has taken them.
/// Of several records of one request id only the newest is written.
class ClaimJournal
{
public:
    ClaimJournal(ClaimTable &table, const Clock &clock);
    /// Drops what has not been written.
    ~ClaimJournal();

    /// Queues a record. Returns false, and logs it, if the ring is full; the row is then missing or out of date.
    bool submit(const RequestKey &key, const RequestRecord &record, const std::optional<RowTag> &tag);
    /// Waits until everything queued is written. Returns false at the deadline.
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

    /// One thread with its ring. Request ids are divided among lanes, so that records of one id stay in order.
    struct Lane
    {
        Lane();

        BoundedRing<Item> ring;
        std::map<RequestKey, Item> waiting {};
        /// Tags of rows whose request is still running.
        std::map<RequestKey, RowTag> tags {};
        std::thread thread {};
    };

    void work(Lane &lane);
    void take(Lane &lane, Item item);
    /// Returns whether the store took part; false means that it should be left alone for a while.
    bool write(Lane &lane, const Item &item);

    ClaimTable &m_table;
    const Clock &m_clock;
    std::atomic<std::size_t> m_pending { 0 };
    std::atomic<bool> m_isStopping { false };
    std::vector<std::unique_ptr<Lane>> m_lanes;
};

} // namespace Sapphire
