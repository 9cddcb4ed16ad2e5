#include <Deployment/Deployment.h>
#include <Harness/WaitFor.h>
#include <LibCore/BootClock.h>
#include <SapphireLoad/LoadRun.h>

#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <iomanip>
#include <iostream>
#include <thread>

DEFINE_string(plan, "Settings/limpieza.json", "deployment to run");
DEFINE_string(scenario, "healthy",
              "healthy, overload (the first customer at five times its rate), spray (the same without look-ups) or "
              "region-loss (all targets of the first region fail after a third of the run)");
DEFINE_string(policy, "shares", "customer limits: shares or equalSplit");
DEFINE_string(slots, "optimistic", "slots of targets: optimistic or divided");
DEFINE_int32(seconds, 20, "length of the load");
DEFINE_double(load, 0.6, "ratio of each customer's load to its rate");
DEFINE_uint64(seed, 1, "seed of the arrivals");

using namespace Sapphire;

namespace {

constexpr double overloadFactor = 5.0;
constexpr int loadWorkers = 200;
// Weights of a technician's reads, a manager's bookings and an inspector's records.
constexpr double readWeight = 0.7;
constexpr double bookingWeight = 0.15;
constexpr double recordWeight = 0.15;

LoadPlan loadOf(Deployment &deployment)
{
    const DeploymentPlan &plan = deployment.plan();
    LoadPlan load;
    for (const PlannedCustomer &customer : plan.customers) {
        load.customers.push_back({ customer.name, deployment.key(customer.name), customer.ratePerSecond * FLAGS_load,
                                   customer.ratePerSecond, customer.burst });
    }
    const bool isOverload = FLAGS_scenario == "overload" || FLAGS_scenario == "spray";
    if (isOverload) {
        load.customers.front().requestsPerSecond = plan.customers.front().ratePerSecond * overloadFactor;
    }
    load.routes = { { plan.services[0].name, "GET", "/lines/7", readWeight },
                    { plan.services[1].name, "POST", "/bookings", bookingWeight },
                    { plan.services[2].name, "GET", "/certificates/3", recordWeight } };
    for (const PlannedRegion &region : plan.regions) {
        LoadOrigin origin { region.name, {}, 1 };
        for (const DeployedVm *vm : deployment.vmsOf(region.name)) {
            origin.vms.push_back(vm->callerAddress);
        }
        load.origins.push_back(origin);
    }
    load.duration = Milliseconds(FLAGS_seconds * 1'000);
    load.seed = FLAGS_seed;
    load.workers = loadWorkers;
    load.usesLookUps = FLAGS_scenario != "spray";
    return load;
}

Result<void> failFirstRegion(Deployment &deployment)
{
    const std::string region = deployment.plan().regions.front().name;
    for (const DeployedTarget &target : deployment.targets()) {
        if (target.locality.region.text() == region) {
            BOOST_LEAF_CHECK(deployment.targetControl("/control/set?target=" + target.target.text() + "&down=1"));
        }
    }
    return {};
}

Result<void> bench()
{
    BOOST_LEAF_AUTO(plan, DeploymentPlan::load(FLAGS_plan));
    DeploymentOptions options;
    options.hasNetworkDelays = true;
    options.extraSettings = R"("slotPolicy":")" + FLAGS_slots + R"(","limits":{"policy":")" + FLAGS_policy + R"("})";
    BOOST_LEAF_AUTO(deployment, Deployment::create(plan, options));
    const LoadPlan load = loadOf(*deployment);
    LoadReport warmUp;
    LoadPlan shortLoad = load;
    // Buckets start empty and shares adapt to the demand, so the run is measured after a warm-up.
    shortLoad.duration = Milliseconds(10'000);
    LoadRun(shortLoad).run(warmUp);

    LoadReport report;
    std::thread fault;
    if (FLAGS_scenario == "region-loss") {
        fault = std::thread([&] {
            std::this_thread::sleep_for(load.duration / 3);
            const Outcome<void> failed = capture([&] {
                return failFirstRegion(*deployment);
            });
            std::cout << (failed ? "the targets of the first region failed" : failed.error().message) << std::endl;
        });
    }
    LoadRun(load).run(report);
    if (fault.joinable()) {
        fault.join();
    }
    const LoadReport::Totals totals = report.totals();
    const auto [worst, share] = report.worstServed();
    std::cout << plan.name << ", " << FLAGS_scenario << ", limits " << FLAGS_policy << ", slots " << FLAGS_slots
              << ", seed " << FLAGS_seed << "\n"
              << report.table().text() << "inside the rate: " << totals.insideRate
              << ", of these refused as over the rate: " << totals.refusedInsideRate
              << ", fewer answered than inside the rate by: " << report.shortfall()
              << "\nworst-served customer: " << worst << ", " << std::fixed << std::setprecision(2) << share * 100
              << "% of what its rate and burst allow was answered\n";
    return {};
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("measures a whole deployment on stand-ins under load");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    const Outcome<void> outcome = capture(bench);
    if (!outcome) {
        std::cerr << "sapphire-bench: " << outcome.error().message << '\n';
        return 1;
    }
    return 0;
}
