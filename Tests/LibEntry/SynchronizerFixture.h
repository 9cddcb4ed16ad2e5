#pragma once

#include <LibCore/BootClock.h>
#include <LibEntry/SharedSourceSynchronizer.h>

#include <doctest/doctest.h>

#include <memory>
#include <vector>

namespace Sapphire {

/// Records what a synchronizer sends to the other VMs.
class RecordingPeers final : public SourceUpdatePeers
{
public:
    void broadcastUpdate(const SourceUpdate &update) override
    {
        m_updates.push_back(update);
    }
    void broadcastDocument(const SourceUpdate &update) override
    {
        m_documents.push_back(update);
    }
    void requestRules(const VmId &vm, std::uint64_t) override
    {
        m_rulesRequests.push_back(vm);
    }
    void sendRules(const VmId &, const SourceUpdate &update) override
    {
        m_sentRules.push_back(update);
    }
    void sendToRelays(const SourceUpdate &update, std::string_view) override
    {
        m_relayed.push_back(update);
    }
    void setReadable(SourceKind, bool) override
    {
    }
    void requestTargetSync(const VmId &vm, const ShortDigests &digests) override
    {
        m_syncRequests.push_back({ vm, digests });
    }
    void sendTargetSyncReply(const VmId &, const TargetSyncReply &reply) override
    {
        m_syncReplies.push_back(reply);
    }

    struct SyncRequest
    {
        VmId vm;
        ShortDigests digests;
    };
    const std::vector<SourceUpdate> &updates() const
    {
        return m_updates;
    }
    /// Returns the updates that were sent to other regions.
    const std::vector<SourceUpdate> &relayed() const
    {
        return m_relayed;
    }
    /// Returns the updates that were sent with their documents.
    const std::vector<SourceUpdate> &documents() const
    {
        return m_documents;
    }
    /// Returns the VMs that were asked for their rules.
    const std::vector<VmId> &rulesRequests() const
    {
        return m_rulesRequests;
    }
    /// Returns the replies to rules requests.
    const std::vector<SourceUpdate> &sentRules() const
    {
        return m_sentRules;
    }
    const std::vector<SyncRequest> &syncRequests() const
    {
        return m_syncRequests;
    }
    const std::vector<TargetSyncReply> &syncReplies() const
    {
        return m_syncReplies;
    }

private:
    std::vector<SourceUpdate> m_updates;
    std::vector<SourceUpdate> m_documents;
    std::vector<VmId> m_rulesRequests;
    std::vector<SourceUpdate> m_sentRules;
    std::vector<SourceUpdate> m_relayed;
    std::vector<SyncRequest> m_syncRequests;
    std::vector<TargetSyncReply> m_syncReplies;
};

/// The context of a synchronizer of a region's only VM, with a loop on the calling thread.
class SynchronizerFixture
{
public:
    SynchronizerFixture()
    {
        VmRecord record;
        record.vm = own;
        record.locality = locality;
        roster.applyRecords({ record }, clock.now());
    }

    SynchronizerContext context()
    {
        return { *loop, peers, roster, own };
    }
    /// Runs the loop until the condition is met. Returns false if that takes longer than a test should wait.
    template<typename Condition>
    bool runUntil(Condition isMet)
    {
        constexpr Milliseconds step { 20 };
        constexpr Milliseconds longestWait { 5'000 };
        const Deadline deadline = Deadline::after(clock.now(), longestWait);
        while (!isMet() && !deadline.hasPassed(clock.now())) {
            loop->runOnce(Deadline::after(clock.now(), step));
        }
        return isMet();
    }
    void runFor(Milliseconds time)
    {
        const Deadline end = Deadline::after(clock.now(), time);
        while (!end.hasPassed(clock.now())) {
            loop->runOnce(end);
        }
    }

    BootClock clock;
    std::unique_ptr<EventLoop> loop { createLoop(clock) };
    VmId own { "cuyo-a-1" };
    Locality locality { RegionId("cuyo"), AvailabilityZoneId("cuyo-a") };
    VmRoster roster { own, locality, {} };
    RecordingPeers peers;

private:
    static std::unique_ptr<EventLoop> createLoop(const Clock &clock)
    {
        Outcome<std::unique_ptr<EventLoop>> loop = capture([&] {
            return EventLoop::create(clock);
        });
        REQUIRE(loop);
        return std::move(loop.value());
    }
};

} // namespace Sapphire
