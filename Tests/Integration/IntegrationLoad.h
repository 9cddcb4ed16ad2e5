#pragma once

#include <Integration/IntegrationFixture.h>
#include <SapphireLoad/LoadRun.h>

#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace Sapphire {

/// Returns a plan of reads of the service "status" from callers near each region. Each caller knows all VMs of its
/// region.
inline LoadPlan readLoad(Deployment &deployment, const std::vector<LoadCustomer> &customers, Milliseconds duration,
                         std::uint64_t seed)
{
    LoadPlan plan;
    plan.customers = customers;
    for (LoadCustomer &customer : plan.customers) {
        customer.key = deployment.key(customer.name);
    }
    plan.routes = { { "status", "GET", "/lines/7", 1, Milliseconds(500) } };
    for (const PlannedRegion &region : deployment.plan().regions) {
        LoadOrigin origin { region.name, {}, 1 };
        for (const DeployedVm *vm : deployment.vmsOf(region.name)) {
            origin.vms.push_back(vm->callerAddress);
        }
        plan.origins.push_back(origin);
    }
    plan.duration = duration;
    plan.seed = seed;
    plan.workers = 200;
    return plan;
}

/// Runs the load, and meanwhile the faults on the calling thread. Returns when both have ended.
inline void runUnderLoad(const LoadPlan &plan, LoadReport &report, const std::function<void()> &faults)
{
    const std::jthread load([&plan, &report] {
        LoadRun(plan).run(report);
    });
    faults();
}

} // namespace Sapphire
