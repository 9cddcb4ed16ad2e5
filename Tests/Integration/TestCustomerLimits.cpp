#include <Integration/IntegrationLoad.h>
#include <Integration/RateCheck.h>
#include <LibCore/RandomSource.h>

#include <algorithm>
#include <iostream>

using namespace Sapphire;

namespace {

constexpr std::uint64_t seed = 53;
constexpr Milliseconds loadTime { 10'000 };

const LoadCustomer customerOverRate { "bodega-andina", "", 250, 50, 20 };
const LoadCustomer customerWithinRate { "bar-el-grifo", "", 15, 20, 10 };

std::unique_ptr<Deployment> deploymentWithSpareSlots(const std::string &extraSettings = "")
{
    return expect([&]() -> Result<std::unique_ptr<Deployment>> {
        BOOST_LEAF_AUTO(plan, DeploymentPlan::load("Settings/quick.json"));
        for (PlannedService &service : plan.services) {
            service.slots = 50;
        }
        DeploymentOptions options;
        options.extraSettings = extraSettings;
        return Deployment::create(plan, options);
    });
}

void checkCustomer(Deployment &deployment, const LoadReport &report, const LoadCustomer &customer,
                   const std::vector<RateFrom> &rates, double highestRate)
{
    const std::vector<TimePoint> starts = startsOf(deployment, customer.name);
    const double above = maxAboveRefill(starts, rates);
    const double bound = customer.burst + highestRate * startDelaySeconds;
    const LoadReport::Totals totals = report.customerTotals(customer.name);
    std::cout << "  " << customer.name << ": sent " << totals.sent << ", started " << starts.size()
              << ", most above refill " << above << " of burst " << customer.burst << " (bound " << bound
              << "), refused inside rate " << totals.refusedInsideRate << " of " << totals.insideRate
              << ", served of inside rate " << totals.servedShare() << ", not answered:";
    for (const auto &[reason, count] : totals.reasons) {
        std::cout << " " << reason << "=" << count;
    }
    std::cout << std::endl;
    CAPTURE(customer.name);
    CHECK(starts.size() > 20);
    CHECK(above <= bound);
}

void checkBothCustomers(const std::string &what, Deployment &deployment, const LoadReport &report)
{
    std::cout << what << " (seed " << seed << "), worst served " << report.worstServed().first << " "
              << report.worstServed().second << std::endl;
    CAPTURE(seed);
    for (const LoadCustomer &customer : { customerOverRate, customerWithinRate }) {
        checkCustomer(deployment, report, customer, { { TimePoint {}, customer.rate } }, customer.rate);
    }
}

void pause(Milliseconds time)
{
    std::this_thread::sleep_for(time);
}

void runAndCheck(const std::string &what, bool usesLookUps, const std::function<void(Deployment &)> &faults)
{
    const auto deployment = deploymentWithSpareSlots();
    LoadPlan plan = readLoad(*deployment, { customerOverRate, customerWithinRate }, loadTime, seed);
    plan.usesLookUps = usesLookUps;
    LoadReport report;
    runUnderLoad(plan, report, [&] {
        faults(*deployment);
    });
    checkBothCustomers(what, *deployment, report);
}

} // namespace

TEST_CASE("A customer at five times its rate stays within rate and burst")
{
    // Guards against buckets whose sum over the VMs exceeds the customer's rate or burst.
    runAndCheck("with look-ups", true, [](Deployment &) {});
}

TEST_CASE("A customer that ignores look-ups and sprays all VMs stays within rate and burst")
{
    // Guards against VMs outside the home set that admit requests without a token, and loans that are counted twice.
    runAndCheck("spraying", false, [](Deployment &) {});
}

TEST_CASE("Customers stay within rate and burst while VMs are killed and restarted")
{
    // Guards against a full bucket after a restart, and against a share that two processes hold.
    runAndCheck("VMs restarted", false, [](Deployment &deployment) {
        RandomSource random(seed);
        for (int round = 0; round < 6; ++round) {
            pause(Milliseconds(700 + random.below(600)));
            const std::string name = deployment.vms()[random.below(deployment.vms().size())].vm.text();
            deployment.vm(name).process->kill();
            expect([&] {
                return deployment.startVm(name);
            });
        }
    });
}

TEST_CASE("Customers stay within rate and burst after a VM was frozen for 6 s")
{
    // Guards against a resumed VM that spends tokens and loans of the time in which it was frozen.
    runAndCheck("VM frozen", false, [](Deployment &deployment) {
        pause(Milliseconds(2'000));
        ChildProcess &process = *deployment.vm("cuyo-b-1").process;
        process.stop();
        pause(Milliseconds(6'000));
        process.resume();
    });
}

TEST_CASE("Customers stay within rate and burst while the store is down")
{
    // Guards against VMs that, during an outage of the store, use shares that the store has not recorded.
    runAndCheck("store down", true, [](Deployment &deployment) {
        pause(Milliseconds(2'000));
        expect([&] {
            return deployment.platform().setOutage(OutageMode::Refuse);
        });
        pause(Milliseconds(5'000));
        expect([&] {
            return deployment.platform().setOutage(OutageMode::None);
        });
    });
}

TEST_CASE("Customers stay within rate and burst while a region is cut off")
{
    // Guards against a share that VMs on both sides of a partition spend.
    runAndCheck("region cut", false, [](Deployment &deployment) {
        pause(Milliseconds(2'000));
        expect([&] {
            return deployment.cutRegion("norte");
        });
        pause(Milliseconds(5'000));
        expect([&] {
            return deployment.healNetwork();
        });
    });
}

TEST_CASE("A lowered and raised rate holds for the sum of all VMs")
{
    // Guards against VMs that keep the old rate after the change was reported as in force.
    constexpr double lowRate = 20;
    constexpr double highRate = 80;
    const auto deployment = deploymentWithSpareSlots();
    const BootClock clock;
    std::vector<RateFrom> rates { { TimePoint {}, customerOverRate.rate } };
    LoadReport report;
    runUnderLoad(readLoad(*deployment, { customerOverRate, customerWithinRate }, loadTime, seed), report, [&] {
        for (const double rate : { lowRate, highRate }) {
            pause(Milliseconds(2'500));
            // From the command on until it is in force everywhere, the higher of both rates is allowed.
            rates.push_back({ clock.now(), std::max(rates.back().rate, rate) });
            const auto answer = command(*deployment, "pampa-a-1",
                                        "set customer " + customerOverRate.name + " rate "
                                            + std::to_string(static_cast<int>(rate)) + " burst 20");
            CHECK(outcomeOf(answer) == "in-force");
            rates.push_back({ clock.now(), rate });
        }
    });
    std::cout << "rate changed (seed " << seed << ")" << std::endl;
    CAPTURE(seed);
    checkCustomer(*deployment, report, customerOverRate, rates, highRate);
    checkCustomer(*deployment, report, customerWithinRate, { { TimePoint {}, customerWithinRate.rate } },
                  customerWithinRate.rate);
}

TEST_CASE("Shares and loans refuse fewer requests inside the rate than an equal split")
{
    // Guards against a policy that keeps the limit only by refusing customers that stay within their rate.
    std::vector<LoadReport::Totals> insideTotals;
    for (const std::string &settings : { std::string(), std::string(R"("limits": {"policy": "equalSplit"})") }) {
        const auto deployment = deploymentWithSpareSlots(settings);
        LoadReport report;
        runUnderLoad(readLoad(*deployment, { customerOverRate, customerWithinRate }, loadTime, seed), report, [] {});
        checkBothCustomers(settings.empty() ? "shares and loans" : "equal split", *deployment, report);
        insideTotals.push_back(report.totals());
    }
    std::cout << "refused inside the rate: shares " << insideTotals[0].refusedInsideRate << " of "
              << insideTotals[0].insideRate << ", equal split " << insideTotals[1].refusedInsideRate << " of "
              << insideTotals[1].insideRate << std::endl;
    CHECK(insideTotals[0].refusedInsideRate < insideTotals[1].refusedInsideRate);
}
