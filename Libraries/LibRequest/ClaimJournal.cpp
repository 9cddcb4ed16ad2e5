#include <LibRequest/ClaimJournal.h>

#include <LibCore/Hash.h>
#include <LibRequest/RequestEvents.h>

namespace Sapphire {

namespace {

// At 55 ms per write, four lanes write about 70 records a second.
constexpr std::size_t laneCount = 4;
constexpr std::size_t ringCapacity = 16'384;
constexpr std::size_t mostWaiting = 65'536;
constexpr Milliseconds writeTimeout { 2'000 };
constexpr Milliseconds idleWait { 100 };
constexpr Milliseconds pauseAfterFailure { 500 };

} // namespace

ClaimJournal::Lane::Lane() : ring(ringCapacity)
{
}

ClaimJournal::ClaimJournal(ClaimTable &table, const Clock &clock) : m_table(table), m_clock(clock)
{
    for (std::size_t i = 0; i < laneCount; ++i) {
        m_lanes.push_back(std::make_unique<Lane>());
        Lane &lane = *m_lanes.back();
        lane.thread = std::thread([this, &lane] {
            runLane(lane);
        });
    }
}

ClaimJournal::~ClaimJournal()
{
    m_isStopping = true;
    for (const std::unique_ptr<Lane> &lane : m_lanes) {
        lane->ring.close();
        lane->thread.join();
    }
}

bool ClaimJournal::submit(const RequestKey &key, const RequestRecord &record, const std::optional<RowTag> &tag)
{
    Lane &lane = *m_lanes[stableHash(key.rowKey()) % m_lanes.size()];
    ++m_pending;
    if (lane.ring.tryPush(Item { key, record, tag })) {
        return true;
    }
    --m_pending;
    logEvent(RequestEvents::journalFull, { { "requestId", key.id } });
    return false;
}

bool ClaimJournal::flush(Deadline deadline)
{
    while (m_pending > 0) {
        if (deadline.hasPassed(m_clock.now())) {
            return false;
        }
        std::this_thread::sleep_for(Milliseconds(5));
    }
    return true;
}

void ClaimJournal::runLane(Lane &lane)
{
    Deadline pausedUntil;
    bool isDelayed = false;
    while (!m_isStopping) {
        const bool mayWrite = pausedUntil.hasPassed(m_clock.now()) && !lane.waiting.empty();
        std::optional<Item> item = lane.ring.pop(mayWrite ? Microseconds::zero() : Microseconds(idleWait));
        if (item) {
            enqueue(lane, std::move(*item));
            continue;
        }
        if (!mayWrite) {
            continue;
        }
        const Item next = lane.waiting.begin()->second;
        if (write(lane, next)) {
            lane.waiting.erase(next.key);
            --m_pending;
            isDelayed = false;
        } else {
            if (!isDelayed) {
                logEvent(RequestEvents::journalDelayed, { { "waiting", lane.waiting.size() } });
            }
            isDelayed = true;
            pausedUntil = Deadline::after(m_clock.now(), pauseAfterFailure);
        }
    }
}

void ClaimJournal::enqueue(Lane &lane, Item item)
{
    const auto found = lane.waiting.find(item.key);
    if (found == lane.waiting.end()) {
        if (lane.waiting.size() >= mostWaiting) {
            --m_pending;
            logEvent(RequestEvents::journalFull, { { "requestId", item.key.id } });
            return;
        }
        RequestKey key = item.key;
        lane.waiting.emplace(std::move(key), std::move(item));
        return;
    }
    --m_pending;
    if (!item.tag) {
        item.tag = found->second.tag;
    }
    found->second = std::move(item);
}

bool ClaimJournal::write(Lane &lane, const Item &item)
{
    const auto known = lane.tags.find(item.key);
    const std::optional<RowTag> tag = known != lane.tags.end() ? known->second : item.tag;
    const Outcome<RowTag> written = capture([&] {
        return m_table.update(item.key, item.record, tag, Deadline::after(m_clock.now(), writeTimeout));
    });
    if (!written && written.error().code != ErrorCode::Conflict) {
        // If the write took effect and only its answer was lost, the tag is out of date; the next update() reads the
        // row.
        return false;
    }
    if (!written) {
        logEvent(RequestEvents::claimOverwritten, { { "requestId", item.key.id } });
    }
    if (written && item.record.state == RequestState::Running) {
        lane.tags[item.key] = written.value();
    } else {
        lane.tags.erase(item.key);
    }
    return true;
}

} // namespace Sapphire
