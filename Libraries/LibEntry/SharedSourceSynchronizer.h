#pragma once

#include <LibEntry/SourcePoller.h>
#include <LibNet/EventLoop.h>
#include <LibPeer/SourceUpdatePeers.h>
#include <LibSteering/ReadSchedule.h>
#include <LibSteering/VmRoster.h>

#include <atomic>
#include <memory>

namespace Sapphire {

/// What a SharedSourceSynchronizer works with. The objects must outlive it.
struct SynchronizerContext
{
    EventLoop &loop;
    SourceUpdatePeers &peers;
    const VmRoster &roster;
    VmId own;
};

/// Keeps a local copy of a source of the platform in step: reads the source on a thread of its own when a read is due,
/// broadcasts what it read, and applies the updates of other VMs. All functions but read() and
/// processPendingUpdate() must be called on the loop's thread.
class SharedSourceSynchronizer
{
public:
    SharedSourceSynchronizer(const SynchronizerContext &context, SourceKind sourceKind, ReadScheduleSettings settings);
    virtual ~SharedSourceSynchronizer() = default;
    SharedSourceSynchronizer(const SharedSourceSynchronizer &) = delete;
    SharedSourceSynchronizer &operator=(const SharedSourceSynchronizer &) = delete;

    /// Starts the thread and the first checks.
    void start(const SourcePollerSettings &settings);
    /// Ends the threads. To be called at the latest by the destructor of the subclass, whose functions they call.
    void stop();
    /// Takes an update of another VM.
    void takeUpdate(const SourceUpdate &update);
    /// When the local copy was last known to be current; the epoch of the clock if there is no copy yet.
    TimePoint confirmedAt() const
    {
        return m_schedule.confirmedAt();
    }
    /// Whether another VM has reported a newer list than the local copy, or there is none yet.
    bool isIncomplete() const
    {
        return m_schedule.isIncomplete();
    }
    /// For how long this VM has known that there is a newer list than its own; zero if it knows of none.
    Microseconds behindFor() const
    {
        const TimePoint now = m_context.loop.now();
        return now - m_schedule.behindSince(now);
    }
    /// Checks at once whether a read is due. To be called when the list of VMs has changed.
    void check();

protected:
    using Task = EventLoop::Task;

    /// Reads the source. Called on the synchronizer's thread. Returns a task for the loop's thread that applies what
    /// was read and calls finishRead().
    [[nodiscard]] virtual Result<Task> read(bool isReader) = 0;
    /// Applies another VM's update to the local copy as far as possible, and calls finishUpdate() at once or later.
    virtual void applyUpdate(const SourceUpdate &update) = 0;
    /// Processes an update that applyUpdate() has stored. Called on a thread of its own, since calls to the platform
    /// may block the other one for seconds. Returns a task for the loop's thread, or nothing if there is no update.
    virtual std::optional<Task> processPendingUpdate()
    {
        return std::nullopt;
    }
    /// A read has failed. Called on the loop's thread.
    virtual void readFailed()
    {
    }
    /// Whether the VMs of the region nearest to the platform read for those of all regions.
    virtual bool isReadForAll() const
    {
        return false;
    }
    /// Asks another VM for what this one lacks, if anything and if it is time. Called on the loop's thread at each
    /// check, with this VM's rank in the order of readers.
    virtual void requestSync(std::size_t)
    {
    }
    /// To be called when an update of another VM has been applied as far as possible.
    void finishUpdate(const SourceUpdate &update);
    /// Calls processPendingUpdate() soon.
    void wake();
    /// To be called by the task of a read, with the updates for other VMs: several in order, if there is too much for
    /// one.
    void finishRead(const std::vector<SourceUpdate> &updates);

    /// To be called by the task of a read whose list isn't taken, since this VM has a newer one.
    void finishOutdatedRead(TimePoint readAt);

    ReadSchedule &schedule()
    {
        return m_schedule;
    }
    const ReadSchedule &schedule() const
    {
        return m_schedule;
    }
    /// Returns the name of the source in the order of readers and in log events.
    std::string_view sourceName() const;
    const SynchronizerContext &context() const
    {
        return m_context;
    }
    EventLoop &loop()
    {
        return m_context.loop;
    }

private:
    void noteFailed();
    /// Forwards an update from another region within the own one. Leaves reading to others if the update comes from
    /// another region, directly or forwarded, or from a VM before this one in the order of readers.
    void noteOrigin(const SourceUpdate &update);
    void broadcast(const SourceUpdate &update);
    /// Logs once that this VM has been behind for long.
    void reportBehind();
    void postPendingUpdate();
    Result<void> step();
    Result<void> readList();

    SynchronizerContext m_context;
    SourceKind m_kind;
    ReadSchedule m_schedule;
    Timer m_timer;
    Deadline m_rosterDeadline; ///< Until then reads wait for the list of VMs.
    Deadline m_unreadableUntil; ///< Until then this VM announces that it can't read.
    std::size_t m_rank { 0 }; ///< This VM's position in the order of readers.
    bool m_isBehindReported { false };
    std::atomic<bool> m_isReader { false };
    std::atomic<bool> m_isReadDue { false }; ///< The schedule has begun a read that the thread has not made yet.
    std::atomic<bool> m_isReadEndUnreported { false }; ///< A read has ended, but the loop took no task for it.
    Outcome<void> m_lastRead; ///< Used by the synchronizer's thread only.
    std::unique_ptr<SourcePoller> m_poller;
    std::unique_ptr<SourcePoller> m_updatePoller; ///< Processes updates; null before the first one.
};

} // namespace Sapphire
