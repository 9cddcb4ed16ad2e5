#include <LibSteering/CustomerQuotas.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

const CustomerId limited("limited");
const CustomerId unlimited("unlimited");
const VmId ownVm("vm-1");
const VmsByRegion oneVm({ { ownVm, RegionId("cuyo") } });
constexpr QuotaSettings settings { Milliseconds(5'000), 0.1, 20 };

TimePoint at(double seconds)
{
    return TimePoint(Microseconds(static_cast<Microseconds::rep>(seconds * 1e6)));
}

RefPointer<const ServingRules> rules(std::uint64_t version, double rate)
{
    ServingRules::Content content;
    content.version = ConfigurationVersion(version);
    CustomerRules customer;
    customer.id = limited;
    customer.ratePerSecond = rate;
    customer.burst = rate;
    content.customers.push_back(customer);
    customer.id = unlimited;
    customer.ratePerSecond = 0;
    customer.burst = 0;
    content.customers.push_back(customer);
    return RefPointer<const ServingRules>(new ServingRules(std::move(content)));
}

/// Returns how many of the customer's 100 requests in the second after `begin` are admitted.
int admitted(CustomerQuotas &quotas, const CustomerId &customer, double begin)
{
    constexpr int requests = 100;
    int count = 0;
    for (int i = 0; i < requests; ++i) {
        count += quotas.find(customer)->take(at(begin + i * 1.0 / requests)) ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("A limited customer gets nothing from a VM that doesn't know yet among which VMs the limit is divided")
{
    // Guards against VMs that start during an outage of the store and admit a limited customer as one without a limit,
    // from when they know the rules until they know the list of VMs.
    CustomerQuotas quotas(ownVm, settings);
    quotas.applyRules(rules(1, 10), at(0));
    CHECK(admitted(quotas, limited, 0) == 0);
    CHECK(admitted(quotas, unlimited, 0) == 100);
    CHECK(quotas.find(limited)->lend(Tokens(5), Deadline(at(2)), at(1)) == Tokens(0));
    // Another version of the rules and changed settings don't tell the VMs either.
    quotas.applyRules(rules(2, 20), at(1));
    quotas.configure(settings, at(1));
    CHECK(admitted(quotas, limited, 1) == 0);
    CHECK(admitted(quotas, unlimited, 1) == 100);
    quotas.applyVms(oneVm, at(2));
    const int afterwards = admitted(quotas, limited, 2);
    CHECK(afterwards >= 18);
    CHECK(afterwards <= 20);
}

TEST_CASE("A customer that becomes limited before the VMs are known is limited at once")
{
    // Guards against a new limit that takes effect only with the list of VMs, and against one that is lifted too late.
    CustomerQuotas quotas(ownVm, settings);
    quotas.applyRules(rules(1, 0), at(0));
    CHECK(admitted(quotas, limited, 0) == 100);
    quotas.applyRules(rules(2, 10), at(1));
    CHECK(admitted(quotas, limited, 1) == 0);
    quotas.applyRules(rules(3, 0), at(2));
    CHECK(admitted(quotas, limited, 2) == 100);
}
