#include "LimitFixtures.h"

#include <LibCore/ManualClock.h>
#include <LibLimit/AllotmentReconciler.h>
#include <LibLimit/AllotmentRow.h>

#include <Fakes/FakeTableService.h>

#include <doctest/doctest.h>

#include <memory>

using namespace Sapphire;
using namespace Sapphire::LimitTest;

namespace {

const CustomerId customer("c");

/// Forwards calls. While `isHolding` is set, replacements get no answer and take effect when the test runs them.
class HoldingTables final : public TableService
{
public:
    explicit HoldingTables(TableService &tables) : m_tables(tables)
    {
    }
    Result<Row> read(const TableName &table, const std::string &key, Deadline deadline) override
    {
        return m_tables.read(table, key, deadline);
    }
    Result<std::vector<Row>> list(const TableName &table, const std::string &after, std::size_t limit,
                                  Deadline deadline) override
    {
        return m_tables.list(table, after, limit, deadline);
    }
    Result<RowTag> insert(const TableName &table, const std::string &key, const std::string &value,
                          Deadline deadline) override
    {
        return m_tables.insert(table, key, value, deadline);
    }
    Result<RowTag> replace(const TableName &table, const std::string &key, const std::string &value, const RowTag &tag,
                           Deadline deadline) override
    {
        if (!isHolding) {
            return m_tables.replace(table, key, value, tag, deadline);
        }
        held.emplace_back([=, this] {
            return static_cast<bool>(m_tables.replace(table, key, value, tag, deadline));
        });
        return fail(ErrorCode::Timeout, "no answer", Verdict::MayHaveRun);
    }
    Result<void> remove(const TableName &table, const std::string &key, const RowTag &tag, Deadline deadline) override
    {
        return m_tables.remove(table, key, tag, deadline);
    }

    bool isHolding { false };
    std::vector<std::function<bool()>> held;

private:
    TableService &m_tables;
};

/// Three VMs, one per region, that share a table service.
struct Fleet
{
    struct Vm
    {
        Vm(Fleet &fleet, int index, int incarnation)
            : tables(fleet.tables)
            , limiter({ VmId("vm-" + std::to_string(index)), Incarnation(static_cast<std::uint64_t>(incarnation)) },
                      StubRoster::localityOf(index), fleet.clock, fleet.configuration, fleet.roster, fleet.loans,
                      fleet.settings)
            , reconciler(limiter, tables, fleet.clock, fleet.configuration, fleet.settings)
        {
        }

        HoldingTables tables;
        CustomerLimiter limiter;
        AllotmentReconciler reconciler;
    };

    Fleet()
    {
        settings.allotment.leastInterval = Milliseconds(1'000);
        configuration.setCustomer(customer, 100, 60);
        for (int i = 0; i < 3; ++i) {
            vms.push_back(std::make_unique<Vm>(*this, i, 1));
        }
        run(5);
    }

    void tick(int vm)
    {
        Vm &host = *vms[static_cast<std::size_t>(vm)];
        host.reconciler.tick(clock.now());
    }
    void run(int seconds)
    {
        for (int i = 0; i < seconds; ++i) {
            clock.advance(Milliseconds(1'000));
            for (int vm = 0; vm < 3; ++vm) {
                if (vms[static_cast<std::size_t>(vm)]) {
                    tick(vm);
                }
            }
            REQUIRE(total() <= wholeShare);
        }
    }
    void request(int vm, int count)
    {
        for (int i = 0; i < count; ++i) {
            AdmissionAttempt attempt { customer, Deadline(clock.now()) };
            vms[static_cast<std::size_t>(vm)]->limiter.advance(attempt, clock.now());
        }
    }
    Share share(int vm) const
    {
        return vms[static_cast<std::size_t>(vm)]->limiter.share(customer);
    }
    Share total() const
    {
        Share sum;
        for (const std::unique_ptr<Vm> &vm : vms) {
            sum = sum + (vm ? vm->limiter.share(customer) : Share(0));
        }
        return sum;
    }

    ManualClock clock;
    StubConfiguration configuration;
    StubRoster roster { 3 };
    StubLoanClient loans;
    LimitSettings settings;
    FakeTableService tables;
    std::vector<std::unique_ptr<Vm>> vms;
};

} // namespace

TEST_CASE("home VMs divide a customer's limit and then write no more")
{
    // Guards against a part of the limit that no VM holds, and against needless writes.
    Fleet fleet;
    CHECK(fleet.total() == wholeShare);
    const int writes = fleet.tables.writeCount();
    fleet.run(60);
    CHECK(fleet.tables.writeCount() == writes);
}

TEST_CASE("shares move to the VMs where requests arrive")
{
    // Guards against shares that remain in a region that callers no longer use.
    Fleet fleet;
    for (int i = 0; i < 30; ++i) {
        fleet.request(0, 50);
        fleet.run(1);
    }
    CHECK(fleet.share(0) > Share(800'000));
    CHECK(fleet.total() > Share(990'000));
}

TEST_CASE("a raised share is used although the answer to its write was lost")
{
    // Guards against a share that the row grants but no VM uses.
    Fleet fleet;
    fleet.vms[2].reset();
    fleet.vms[2] = std::make_unique<Fleet::Vm>(fleet, 2, 2);
    fleet.tables.loseAnswers(1);
    fleet.run(3);
    CHECK(fleet.total() == wholeShare);
}

TEST_CASE("a VM does not exceed a lower share whose write may still take effect")
{
    // Guards against this sequence: a write that lowers a share gets no answer, the VM reads the unchanged row and uses
    // the old share again, then the write takes effect and another VM takes what it freed.
    Fleet fleet;
    for (int i = 0; i < 4; ++i) {
        fleet.request(0, 100);
        fleet.clock.advance(Milliseconds(1'000));
        fleet.tick(0);
    }
    const Share before = fleet.share(1);
    Fleet::Vm &lowering = *fleet.vms[1];
    lowering.tables.isHolding = true;
    fleet.request(1, 1);
    for (int i = 0; i < 4 && lowering.tables.held.empty(); ++i) {
        fleet.clock.advance(Milliseconds(1'000));
        fleet.tick(1);
    }
    REQUIRE_FALSE(lowering.tables.held.empty());
    fleet.request(1, 1'000);
    fleet.clock.advance(Milliseconds(3'000));
    fleet.tick(1);
    CHECK(fleet.share(1) < before);
    REQUIRE(lowering.tables.held.front()());
    fleet.clock.advance(Milliseconds(3'000));
    fleet.tick(0);
    CHECK(fleet.total() <= wholeShare);
}

TEST_CASE("a share is given away only after the loans made from it have ended")
{
    // Guards against tokens that a borrower still holds while another VM already has the share that they came from.
    Fleet fleet;
    fleet.clock.advance(Milliseconds(1'000));
    const VmIncarnation borrower { VmId("vm-0"), Incarnation(1) };
    const auto loan = capture([&] {
        return fleet.vms[1]->limiter.lend(customer, Tokens(1'000), borrower, fleet.clock.now());
    });
    REQUIRE(loan);
    REQUIRE(loan.value().tokens.value() > 10);
    const int writes = fleet.tables.writeCount();
    CHECK_FALSE(fleet.vms[1]->reconciler.release(fleet.clock.now()));
    CHECK(fleet.tables.writeCount() == writes);
    CHECK(fleet.share(1) == Share(0));
    fleet.clock.advance(fleet.settings.remoteLoan);
    CHECK(fleet.vms[1]->reconciler.release(fleet.clock.now()));
    CHECK(fleet.tables.writeCount() == writes + 1);
}

TEST_CASE("a new process takes over its VM's share with an empty bucket")
{
    // Guards against an extra burst at each restart, and a share that stays unused until a retirement.
    Fleet fleet;
    const Share before = fleet.share(1);
    fleet.vms[1] = std::make_unique<Fleet::Vm>(fleet, 1, 2);
    fleet.tick(1);
    CHECK(fleet.share(1) == before);
    CHECK(fleet.vms[1]->limiter.snapshot(fleet.clock.now()).front().tokens == doctest::Approx(0));
}

TEST_CASE("a retired process's share is freed only once the retirement is in force")
{
    // Guards against taking the share of a VM that is cut off but still admits requests.
    Fleet fleet;
    fleet.vms[2].reset();
    fleet.roster.entries.pop_back();
    fleet.run(10);
    CHECK(fleet.total() < Share(700'000));
    fleet.configuration.change([](Configuration &configuration) {
        configuration.retired[VmId("vm-2")] = Incarnation(1);
    });
    fleet.run(10);
    CHECK(fleet.total() < Share(700'000));
    fleet.configuration.isInForce = true;
    fleet.run(10);
    CHECK(fleet.total() > Share(995'000));
}

TEST_CASE("shares stay valid through an outage of the store")
{
    // Guards against a fleet that stops admitting requests because the table is unreachable.
    Fleet fleet;
    fleet.tables.setDown(true);
    fleet.run(120);
    CHECK(fleet.total() == wholeShare);
}

TEST_CASE("a damaged row changes no share and is not overwritten")
{
    // Guards against a VM that overwrites a row that it can't read, or drops its share.
    Fleet fleet;
    const auto row = capture([&] {
        return fleet.tables.read(AllotmentRow::table(), customer.text(), Deadline::never());
    });
    REQUIRE(row);
    REQUIRE(fleet.tables.replace(AllotmentRow::table(), customer.text(), "{]", row.value().tag, Deadline::never()));
    const int writes = fleet.tables.writeCount();
    fleet.run(10);
    CHECK(fleet.tables.writeCount() == writes);
    CHECK(fleet.total() == wholeShare);
}

TEST_CASE("a share of the previous incarnation is not applied to the next one")
{
    // Guards against a tick that is still running when the VM registers again, and then applies the old incarnation's
    // share.
    Fleet fleet;
    CustomerLimiter &limiter = fleet.vms[0]->limiter;
    const VmIncarnation before = limiter.self();
    limiter.changeIncarnation(Incarnation(2), fleet.clock.now());
    CHECK(limiter.share(customer) == Share(0));
    CHECK_FALSE(limiter.applyShare(customer, before, Share(300'000), fleet.clock.now()));
    CHECK(limiter.share(customer) == Share(0));
    fleet.run(5);
    CHECK(fleet.total() == wholeShare);
}
