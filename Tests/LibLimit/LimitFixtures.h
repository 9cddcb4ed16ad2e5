#pragma once

#include <LibConfiguration/ConfigurationSource.h>
#include <LibConfiguration/Roster.h>
#include <LibSteering/Loan.h>

#include <atomic>
#include <functional>
#include <mutex>

namespace Sapphire::LimitTest {

class StubConfiguration final : public ConfigurationSource
{
public:
    std::shared_ptr<const Configuration> configuration() const override
    {
        const std::lock_guard guard(m_mutex);
        return m_configuration;
    }
    bool isFresh(TimePoint) const override
    {
        return isFreshNow;
    }
    bool isWithdrawn(const KeyId &) const override
    {
        return false;
    }
    InForceStatus inForceStatus(ConfigurationVersion, TimePoint) const override
    {
        return { isInForce, {} };
    }
    void change(const std::function<void(Configuration &)> &edit)
    {
        const std::lock_guard guard(m_mutex);
        auto next = std::make_shared<Configuration>(*m_configuration);
        next->version = next->version.next();
        edit(*next);
        m_configuration = next;
    }
    void setCustomer(const CustomerId &customer, double rate, double burst)
    {
        change([&](Configuration &configuration) {
            configuration.customers[customer] = { customer, rate, burst, {} };
        });
    }

    std::atomic<bool> isFreshNow { true };
    std::atomic<bool> isInForce { false };

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const Configuration> m_configuration { std::make_shared<Configuration>() };
};

/// A roster of VMs "vm-0", "vm-1" and so on, which belong to three regions in turn.
class StubRoster final : public Roster
{
public:
    explicit StubRoster(int count)
    {
        for (int i = 0; i < count; ++i) {
            RosterVm vm;
            vm.process = { VmId("vm-" + std::to_string(i)), Incarnation(1) };
            vm.locality = localityOf(i);
            entries.push_back(vm);
        }
    }
    static Locality localityOf(int vm)
    {
        return { RegionId("region-" + std::to_string(vm % 3)), AvailabilityZoneId("zone") };
    }
    std::vector<RosterVm> vms(TimePoint) const override
    {
        return entries;
    }
    std::set<VmId> listedVms() const override
    {
        std::set<VmId> listed;
        for (const RosterVm &vm : entries) {
            listed.insert(vm.process.vm);
        }
        return listed;
    }

    std::vector<RosterVm> entries;
};

class StubLoanClient final : public LoanClient
{
public:
    Result<Loan> borrow(const VmId &lender, const CustomerId &customer, Tokens wanted, Deadline deadline) override
    {
        ++calls;
        if (answer) {
            return answer(lender, customer, wanted, deadline);
        }
        return fail(ErrorCode::Unavailable, "no lender");
    }

    std::function<Result<Loan>(const VmId &, const CustomerId &, Tokens, Deadline)> answer;
    std::atomic<int> calls { 0 };
};

} // namespace Sapphire::LimitTest
