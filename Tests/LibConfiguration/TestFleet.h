#pragma once

#include "Commands.h"

#include <Fakes/FakeTableService.h>
#include <LibConfiguration/ConfigurationManager.h>
#include <LibCore/ManualClock.h>

#include <atomic>
#include <functional>

namespace Sapphire {

/// One VM's connection to the table service, with faults that a test can inject.
class TableServiceProxy final : public TableService
{
public:
    explicit TableServiceProxy(TableService &tables) : m_tables(tables)
    {
    }

    std::atomic<bool> isCut { false };
    /// Number of insertions to lose before they reach the service. The caller gets a timeout and can't know the
    /// outcome.
    std::atomic<int> insertionsToLose { 0 };
    std::function<void()> beforeInsertion;

    Result<Row> read(const TableName &table, const std::string &key, Deadline deadline) override
    {
        BOOST_LEAF_CHECK(checkPath());
        return m_tables.read(table, key, deadline);
    }
    Result<std::vector<Row>> list(const TableName &table, const std::string &after, std::size_t limit,
                                  Deadline deadline) override
    {
        BOOST_LEAF_CHECK(checkPath());
        return m_tables.list(table, after, limit, deadline);
    }
    Result<RowTag> insert(const TableName &table, const std::string &key, const std::string &value,
                          Deadline deadline) override
    {
        BOOST_LEAF_CHECK(checkPath());
        if (beforeInsertion) {
            std::exchange(beforeInsertion, nullptr)();
        }
        if (insertionsToLose > 0) {
            --insertionsToLose;
            return fail(ErrorCode::Timeout, "no answer", Verdict::MayHaveRun);
        }
        const Outcome<RowTag> inserted = capture([&] {
            return m_tables.insert(table, key, value, deadline);
        });
        if (!inserted && cutAfterLostAnswer && inserted.error().verdict == Verdict::MayHaveRun) {
            isCut = true;
        }
        return inserted ? Result<RowTag>(inserted.value()) : fail(inserted.error());
    }
    Result<RowTag> replace(const TableName &table, const std::string &key, const std::string &value, const RowTag &tag,
                           Deadline deadline) override
    {
        BOOST_LEAF_CHECK(checkPath());
        return m_tables.replace(table, key, value, tag, deadline);
    }
    Result<void> remove(const TableName &table, const std::string &key, const RowTag &tag, Deadline deadline) override
    {
        BOOST_LEAF_CHECK(checkPath());
        return m_tables.remove(table, key, tag, deadline);
    }

    bool cutAfterLostAnswer { false };

private:
    Result<void> checkPath() const
    {
        if (isCut) {
            return fail(ErrorCode::Unavailable, "no route to the table service");
        }
        return {};
    }

    TableService &m_tables;
};

class FakeObjectStore final : public ObjectStore
{
public:
    Result<std::string> read(const std::string &key, Deadline) override
    {
        const std::lock_guard guard(m_mutex);
        const auto found = m_objects.find(key);
        return found == m_objects.end() ? fail(ErrorCode::NotFound, "no object " + key)
                                        : Result<std::string>(found->second);
    }
    Result<void> write(const std::string &key, const std::string &content, Deadline) override
    {
        const std::lock_guard guard(m_mutex);
        m_objects[key] = content;
        return {};
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::string> m_objects;
};

/// One VM of a TestFleet.
class TestVm final : public Roster, public WithdrawalSpreader
{
public:
    TestVm(const std::string &name, const std::string &region, TableService &tables, ObjectStore &objects,
           const Clock &clock)
        : path(tables), log(path, objects)
    {
        ConfigurationManagerSettings settings;
        settings.self = { VmId(name), Incarnation(1) };
        settings.locality = { RegionId(region), AvailabilityZoneId(region + "-a") };
        auto created = capture([&] {
            return ConfigurationManager::create(settings, log, clock);
        });
        manager = std::move(created.value());
        entry.process = settings.self;
        entry.locality = settings.locality;
    }

    std::vector<RosterVm> vms(TimePoint) const override
    {
        std::vector<RosterVm> result;
        for (const TestVm *vm : known) {
            RosterVm current = vm->entry;
            current.confirmedVersion = vm->isSilent ? ConfigurationVersion() : vm->manager->configuration()->version;
            result.push_back(current);
        }
        return result;
    }
    std::set<VmId> listedVms() const override
    {
        return listed;
    }
    std::size_t spread(const std::set<KeyId> &keys, Deadline) override
    {
        std::size_t count = 0;
        for (TestVm *vm : known) {
            if (vm != this && !vm->isSilent) {
                vm->manager->takeWithdrawals(keys);
                ++count;
            }
        }
        return count;
    }
    Outcome<Receipt> submit(const Command &command)
    {
        return capture([&] {
            return manager->submit(command, Deadline::never());
        });
    }
    ConfigurationVersion version() const
    {
        return manager->configuration()->version;
    }

    TableServiceProxy path;
    ConfigurationLog log;
    std::unique_ptr<ConfigurationManager> manager;
    RosterVm entry;
    std::vector<TestVm *> known;
    std::set<VmId> listed;
    bool isSilent { false }; ///< Disconnected from all other VMs.
};

/// Three regions with one VM each, which share one store and call each other directly.
class TestFleet
{
public:
    TestFleet()
    {
        for (const char *region : { "cuyo", "pampa", "norte" }) {
            vms.push_back(make(std::string("vm-") + region, region));
        }
        join();
        tick();
    }

    std::unique_ptr<TestVm> make(const std::string &name, const std::string &region)
    {
        return std::make_unique<TestVm>(name, region, tables, objects, clock);
    }
    void join()
    {
        std::vector<TestVm *> all;
        std::set<VmId> listed;
        for (const auto &vm : vms) {
            all.push_back(vm.get());
            listed.insert(vm->entry.process.vm);
        }
        for (const auto &vm : vms) {
            vm->known = all;
            vm->listed = listed;
            vm->manager->connect(*vm, *vm);
        }
    }
    /// Runs the periodic work of each VM once, without advancing the clock.
    void tick()
    {
        for (const auto &vm : vms) {
            vm->manager->noteTick(clock.now());
            vm->manager->tick(clock.now());
        }
    }
    /// Advances the clock in steps that are too short to count as a pause of the process.
    void advance(int seconds)
    {
        for (int i = 0; i < 2 * seconds; ++i) {
            clock.advance(Microseconds(500'000));
            tick();
        }
    }
    /// Transfers entries and statements from a peer to the receiver, as the exchange between VMs does.
    void pull(TestVm &receiver, const TestVm &peer)
    {
        const TimePoint now = clock.now();
        receiver.manager->takeEntries(peer.manager->entriesAfter(receiver.version(), 64));
        for (const Statement &statement : peer.manager->newestStatements(now)) {
            receiver.manager->takeStatement(statement, now);
        }
    }
    TestVm &operator[](std::size_t index)
    {
        return *vms[index];
    }
    void cutStore(bool isCut)
    {
        for (const auto &vm : vms) {
            vm->path.isCut = isCut;
        }
    }

    ManualClock clock;
    FakeTableService tables;
    FakeObjectStore objects;
    std::vector<std::unique_ptr<TestVm>> vms;
};

} // namespace Sapphire
