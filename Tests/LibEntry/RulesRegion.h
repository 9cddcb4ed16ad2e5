#pragma once

#include <LibEntry/EntryEvents.h>
#include <LibEntry/OperatorStateSynchronizer.h>
#include <LibEntry/SynchronizerFixture.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

namespace Sapphire {

/// The operators' state in the platform's store: a number that grows with each change.
class StoreState
{
public:
    std::uint64_t version() const
    {
        const std::lock_guard guard(m_mutex);
        return m_version;
    }
    void change()
    {
        const std::lock_guard guard(m_mutex);
        ++m_version;
        m_changed.notify_all();
    }
    /// Returns the version as soon as it isn't the given one, or after the wait.
    std::uint64_t await(std::uint64_t known, Milliseconds wait)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, wait, [&] {
            return m_version != known;
        });
        return m_version;
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_version { 1 };
};

/// A VM's access to the store. Its state evacuates one zone, which is named after the version.
class StoreAccess final : public OperatorStateSource
{
public:
    enum class Mode {
        Answering,
        Refusing,
        Silent, ///< Calls end at their deadline.
    };

    StoreAccess(StoreState &store, EventLoop &loop) : m_store(store), m_loop(loop)
    {
    }

    Result<OperatorState> next(Milliseconds longestWait, Deadline deadline) override
    {
        ++calls;
        if (mode == Mode::Refusing) {
            return fail(ErrorCode::Unavailable, "the store refuses this VM");
        }
        if (mode == Mode::Silent) {
            ++silentCalls;
            while (!deadline.hasPassed(m_loop.clock().now())) {
                std::this_thread::sleep_for(Milliseconds(10));
            }
            return fail(ErrorCode::Timeout, "the store doesn't answer this VM");
        }
        const std::uint64_t version = m_store.await(knownVersion(), longestWait);
        const std::lock_guard guard(m_mutex);
        m_version = std::max(m_version, version);
        return state();
    }
    Result<OperatorState> adopt(const std::string &document) override
    {
        OperatorState adopted;
        {
            const std::lock_guard guard(m_mutex);
            m_version = std::max<std::uint64_t>(m_version, std::stoull(document));
            adopted = state();
        }
        if (fillsLoopOnce.exchange(false)) {
            fillLoopUntilRefused(adopted);
        }
        return adopted;
    }

    std::atomic<Mode> mode { Mode::Answering };
    std::atomic<int> calls { 0 };
    std::atomic<int> silentCalls { 0 };
    std::atomic<bool> fillsLoopOnce { false }; ///< The next document is adopted while the loop takes no task.
    std::atomic<bool> wasRefused { false }; ///< The loop has refused the task with that document's state.

private:
    /// Ends a test whose tasks are never refused.
    static constexpr Milliseconds longestHold { 5'000 };

    /// Returns when the loop takes no more tasks. It takes none until the task that holds the state was refused.
    void fillLoopUntilRefused(const OperatorState &adopted)
    {
        m_refusedRules = adopted.rules;
        auto isFull = std::make_shared<std::promise<void>>();
        const bool isPosted = m_loop.post([this, isFull] {
            // On the loop's own thread, so that nothing empties the queue meanwhile, however fast the threads are.
            while (m_loop.post([] {})) {
            }
            isFull->set_value();
            // A task that was refused is destroyed, and with it the last other reference to its state.
            const Deadline deadline = Deadline::after(m_loop.clock().now(), longestHold);
            while (m_refusedRules->use_count() > 1 && !deadline.hasPassed(m_loop.clock().now())) {
                std::this_thread::sleep_for(Milliseconds(1));
            }
            wasRefused = m_refusedRules->use_count() == 1;
        });
        if (isPosted) {
            isFull->get_future().wait_for(longestHold);
        }
    }
    std::uint64_t knownVersion() const
    {
        const std::lock_guard guard(m_mutex);
        return m_version;
    }
    OperatorState state() const
    {
        OperatorState state;
        ServingRules::Content content;
        content.version = ConfigurationVersion(m_version);
        state.rules = makeRefCounted<ServingRules>(std::move(content));
        state.evacuatedZones = { AvailabilityZoneId(std::to_string(m_version)) };
        state.document = std::to_string(m_version);
        state.revision = SourceRevision(SourceEpoch(), m_version);
        return state;
    }

    StoreState &m_store;
    EventLoop &m_loop;
    mutable std::mutex m_mutex;
    std::uint64_t m_version { 0 };
    RefPointer<const ServingRules> m_refusedRules; ///< Of the state whose task the loop is to refuse.
};

/// The VMs of one availability zone, which exchange their rules by function calls instead of datagrams.
class RulesRegion : public SynchronizerFixture
{
public:
    struct Vm;

    /// A VM's way to the others.
    class Peers final : public SourceUpdatePeers
    {
    public:
        Peers(RulesRegion &region, VmId vm) : m_region(region), m_vm(std::move(vm))
        {
        }
        void broadcastUpdate(const SourceUpdate &update) override
        {
            SourceUpdate announcement = update;
            announcement.document.clear();
            for (const auto &vm : m_region.vms) {
                if (vm->record.vm != m_vm && !vm->losesUpdates) {
                    deliver(*vm, announcement);
                }
            }
        }
        void broadcastDocument(const SourceUpdate &update) override
        {
            for (const auto &vm : m_region.vms) {
                if (vm->record.vm != m_vm && !vm->losesUpdates && !vm->losesDocuments) {
                    deliver(*vm, update);
                }
            }
        }
        void requestRules(const VmId &vm, std::uint64_t digest) override
        {
            m_region.post([this, vm, digest] {
                m_region.find(vm).synchronizer->answerRulesRequest(m_vm, digest);
            });
        }
        void sendRules(const VmId &vm, const SourceUpdate &update) override
        {
            m_region.post([this, vm, update] {
                m_region.find(vm).synchronizer->takeRulesReply(update);
            });
        }
        void sendToRelays(const SourceUpdate &, std::string_view) override
        {
        }
        void setReadable(SourceKind, bool) override
        {
        }
        void requestTargetSync(const VmId &, const ShortDigests &) override
        {
        }
        void sendTargetSyncReply(const VmId &, const TargetSyncReply &) override
        {
        }

    private:
        void deliver(Vm &receiver, SourceUpdate update)
        {
            update.origin = m_vm;
            m_region.post([&receiver, update] {
                receiver.synchronizer->takeUpdate(update);
            });
        }

        RulesRegion &m_region;
        VmId m_vm;
    };

    struct Vm
    {
        Vm(RulesRegion &region, const VmRecord &own)
            : record(own)
            , roster(own.vm, own.locality, rosterSettings())
            , peers(region, own.vm)
            , source(region.store, *region.loop)
        {
        }
        static VmRosterSettings rosterSettings()
        {
            VmRosterSettings settings;
            settings.heartbeatTimeout = std::chrono::minutes(1);
            return settings;
        }

        VmRecord record;
        VmRoster roster;
        Peers peers;
        StoreAccess source;
        bool losesDocuments { false }; ///< Each broadcast with a document to this VM is lost.
        bool losesUpdates { false }; ///< Each broadcast to this VM is lost.
        std::uint64_t version { 0 }; ///< In force.
        std::unique_ptr<OperatorStateSynchronizer> synchronizer;
    };

    explicit RulesRegion(std::size_t count)
    {
        std::vector<VmRecord> records(count);
        for (std::size_t i = 0; i < count; ++i) {
            records[i].vm = VmId("vm-" + std::to_string(i));
            records[i].locality = locality;
        }
        for (const VmRecord &record : records) {
            vms.push_back(std::make_unique<Vm>(*this, record));
            Vm &vm = *vms.back();
            vm.roster.applyRecords(records, clock.now());
            for (const VmRecord &other : records) {
                vm.roster.noteHeartbeat(other.vm, other.startedAtMilliseconds, {}, clock.now());
            }
            const SynchronizerContext vmContext { *loop, vm.peers, vm.roster, record.vm };
            vm.synchronizer =
                std::make_unique<OperatorStateSynchronizer>(vmContext, vm.source, [&vm](const OperatorState &state) {
                    vm.version = std::stoull(state.evacuatedZones.begin()->text());
                });
        }
        // The reader comes first.
        const VmId reader = vms.front()->roster.readersOf("rules", clock.now()).front();
        std::stable_partition(vms.begin(), vms.end(), [&](const std::unique_ptr<Vm> &vm) {
            return vm->record.vm == reader;
        });
    }
    ~RulesRegion()
    {
        for (const auto &vm : vms) {
            vm->synchronizer->stop();
        }
    }
    RulesRegion(const RulesRegion &) = delete;
    RulesRegion &operator=(const RulesRegion &) = delete;

    /// Starts the VMs and waits until all have the first version.
    void start()
    {
        for (const auto &vm : vms) {
            vm->synchronizer->start({ EntryEvents::rulesSourceLost, EntryEvents::rulesSourceBack });
        }
        REQUIRE(runUntil([this] {
            return std::all_of(vms.begin(), vms.end(), [](const auto &vm) {
                return vm->version == 1;
            });
        }));
    }
    Vm &reader()
    {
        return *vms.front();
    }
    /// Returns a VM that another one reads for.
    Vm &follower()
    {
        return *vms.back();
    }
    Vm &find(const VmId &id)
    {
        return **std::find_if(vms.begin(), vms.end(), [&](const std::unique_ptr<Vm> &vm) {
            return vm->record.vm == id;
        });
    }
    /// Each VM tells all others by heartbeat which rules it has.
    void exchangeHeartbeats()
    {
        for (const auto &sender : vms) {
            for (const auto &receiver : vms) {
                if (sender != receiver) {
                    receiver->synchronizer->takeStatus(sender->record.vm, sender->synchronizer->status());
                }
            }
        }
    }
    bool isInForce(const Vm &vm) const
    {
        return vm.version == store.version();
    }
    /// Runs the loop until the VM has the newest version in force. Returns after how long; at most `longest`.
    Milliseconds timeUntilInForce(const Vm &vm, Milliseconds longest)
    {
        const TimePoint begin = clock.now();
        while (!isInForce(vm) && clock.now() - begin < longest) {
            loop->runOnce(Deadline::after(clock.now(), Milliseconds(10)));
        }
        return std::chrono::duration_cast<Milliseconds>(clock.now() - begin);
    }
    void post(EventLoop::Task task)
    {
        (void)loop->post(std::move(task));
    }

    StoreState store;
    std::vector<std::unique_ptr<Vm>> vms;
};

} // namespace Sapphire
