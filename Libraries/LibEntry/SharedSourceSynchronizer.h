#pragma once

#include <LibEntry/SourcePoller.h>
#include <LibNet/EventLoop.h>
#include <LibPeer/ReadingPeers.h>
#include <LibSteering/SharedReading.h>
#include <LibSteering/VmRoster.h>

#include <atomic>
#include <memory>

namespace Sapphire {

/// What a duty that follows a list of the platform works with. All must outlive it.
struct SynchronizerContext
{
    EventLoop &loop;
    ReadingPeers &peers;
    const VmRoster &roster;
    VmId own;
};

/// Follows a list of the platform: reads it on a thread of its own when it is due, and tells and hears of readings in
/// between. All but read() belongs to the loop's thread.
class SharedSourceSynchronizer
{
public:
    SharedSourceSynchronizer(const SynchronizerContext &parts, ReadingSubject subject, SharedReadingSettings settings);
    virtual ~SharedSourceSynchronizer() = default;
    SharedSourceSynchronizer(const SharedSourceSynchronizer &) = delete;
    SharedSourceSynchronizer &operator=(const SharedSourceSynchronizer &) = delete;

    /// Begins to follow the list.
    void start(const SourcePollerSettings &settings);
    /// Ends the thread. To be called before the loop and the subclass go.
    void stop();
    /// Takes what another VM of the region has read.
    void takeUpdate(const Reading &update);
    /// Looks at once whether a reading is due. To be called when the list of VMs has changed.
    void check();

protected:
    using Task = EventLoop::Task;

    /// Reads the list. Called on the duty's own thread. Returns what to do with it on the loop's thread.
    [[nodiscard]] virtual Result<Task> read(bool isReader) = 0;
    /// Brings what this VM knows up to date from another VM's news, if that is enough, and calls finishUpdate() at once
    /// or later.
    virtual void applyUpdate(const Reading &update) = 0;
    /// Returns what to do on the loop's thread with news that applyUpdate() has kept. Called on the duty's own thread.
    virtual std::optional<Task> processPendingUpdate()
    {
        return std::nullopt;
    }
    /// A reading has failed. Called on the loop's thread.
    virtual void readFailed()
    {
    }
    /// Whether the VMs of the region that is nearest to the platform read for those of all regions.
    virtual bool isReadForAll() const
    {
        return false;
    }
    /// Asks other VMs for what this one lacks. Called on the loop's thread, often.
    virtual void requestSync(std::size_t)
    {
    }
    /// To be called when news of another VM have been applied as far as possible.
    void finishUpdate(const Reading &update);
    /// Makes a step on the duty's thread at once.
    void wake()
    {
        m_poller->runSoon();
    }
    /// To be called by the task of a reading, with what it found: several parts in order, if it is too much for one.
    void finishRead(const std::vector<Reading> &readings);

    SharedReading &state()
    {
        return m_state;
    }
    /// Returns what the list is called in the order of readers and in log lines.
    std::string_view sourceName() const;
    const SynchronizerContext &parts() const
    {
        return m_context;
    }
    EventLoop &loop()
    {
        return m_context.loop;
    }

private:
    void noteFailed();
    /// Passes on what a VM of another region has read, and leaves the reading to VMs that come before this one.
    void noteOrigin(const Reading &update);
    void tell(const Reading &update);
    Result<void> step();
    Result<void> readList();

    SynchronizerContext m_context;
    ReadingSubject m_kind;
    SharedReading m_state;
    Timer m_timer;
    Deadline m_rosterDeadline; ///< Until then the list of VMs is waited for.
    Deadline m_unreadableUntil; ///< Until then this VM says that it can't read.
    std::size_t m_rank { 0 }; ///< In the order of readers.
    std::atomic<bool> m_isReader { false };
    std::atomic<bool> m_isReadDue { false }; ///< A reading has begun and is still to be made by the duty's thread.
    std::atomic<bool> m_isReadEndUnreported { false }; ///< A reading has ended and the loop could not be told.
    Outcome<void> m_lastRead; ///< Of the duty's thread.
    std::unique_ptr<SourcePoller> m_poller;
};

} // namespace Sapphire
