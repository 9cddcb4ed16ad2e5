#pragma once

#include <LibEntry/SourceWatch.h>
#include <LibNet/EventLoop.h>
#include <LibPeer/SourceUpdatePeers.h>
#include <LibSteering/SharedReading.h>
#include <LibSteering/VmRoster.h>

#include <atomic>
#include <memory>

namespace Sapphire {

/// What a duty that follows a list of the platform works with. All must outlive it.
struct SharedSourceParts
{
    EventLoop &loop;
    SourceUpdatePeers &peers;
    const VmRoster &roster;
    VmId own;
};

/// Follows a list of the platform: reads it on a thread of its own when it is due, and tells and hears of readings in
/// between. All but read() belongs to the loop's thread.
class SharedSourceDuty
{
public:
    SharedSourceDuty(const SharedSourceParts &parts, SourceKind kind, SharedReadingSettings settings);
    virtual ~SharedSourceDuty() = default;
    SharedSourceDuty(const SharedSourceDuty &) = delete;
    SharedSourceDuty &operator=(const SharedSourceDuty &) = delete;

    /// Begins to follow the list.
    void start(const SourceWatchSettings &settings);
    /// Ends the thread. To be called before the loop and the subclass go.
    void stop();
    /// Takes what another VM of the region has read.
    void takeReading(const SourceUpdate &reading);
    /// Looks at once whether a reading is due. To be called when the list of VMs has changed.
    void check();

protected:
    using Task = EventLoop::Task;

    /// Reads the list. Called on the duty's own thread. Returns what to do with it on the loop's thread.
    [[nodiscard]] virtual Result<Task> read(bool isReader) = 0;
    /// Brings what this VM knows up to date from another VM's news, if that is enough, and calls finishTold() at once
    /// or later.
    virtual void applyReading(const SourceUpdate &reading) = 0;
    /// Returns what to do on the loop's thread with news that applyReading() has kept. Called on the duty's own thread.
    virtual std::optional<Task> takeTold()
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
    virtual void seekHelp(std::size_t)
    {
    }
    /// To be called when news of another VM have been applied as far as possible.
    void finishTold(const SourceUpdate &reading);
    /// Makes a step on the duty's thread at once.
    void wake()
    {
        m_watch->runSoon();
    }
    /// To be called by the task of a reading, with what it found: several parts in order, if it is too much for one.
    void finishRead(const std::vector<SourceUpdate> &readings);

    SharedReading &state()
    {
        return m_state;
    }
    /// Returns what the list is called in the order of readers and in log lines.
    std::string_view subjectName() const;
    const SharedSourceParts &parts() const
    {
        return m_parts;
    }
    EventLoop &loop()
    {
        return m_parts.loop;
    }

private:
    void noteFailed();
    /// Passes on what a VM of another region has read, and leaves the reading to VMs that come before this one.
    void noteTeller(const SourceUpdate &reading);
    void tell(const SourceUpdate &reading);
    Result<void> step();
    Result<void> readList();

    SharedSourceParts m_parts;
    SourceKind m_subject;
    SharedReading m_state;
    Timer m_timer;
    Deadline m_rosterUntil; ///< Until then the list of VMs is waited for.
    Deadline m_lostUntil; ///< Until then this VM says that it can't read.
    std::size_t m_rank { 0 }; ///< In the order of readers.
    std::atomic<bool> m_isReader { false };
    std::atomic<bool> m_isReadDue { false }; ///< A reading has begun and is still to be made by the duty's thread.
    std::atomic<bool> m_isEndLost { false }; ///< A reading has ended and the loop could not be told.
    Outcome<void> m_lastRead; ///< Of the duty's thread.
    std::unique_ptr<SourceWatch> m_watch;
};

} // namespace Sapphire
