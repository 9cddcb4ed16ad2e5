#include <Fakes/DirectionChanges.h>
#include <Harness/StallWatch.h>
#include <Integration/IntegrationLoad.h>
#include <Integration/TargetLedger.h>

#include <algorithm>
#include <cmath>
#include <iostream>

using namespace Sapphire;

namespace {

constexpr std::uint64_t seed = 71;
constexpr double cap = 0.2; ///< Ratio of a region's traffic that may shift to other regions per interval.
constexpr double intervalSeconds = 5;
constexpr double sampleSeconds = 2.5;
constexpr Milliseconds timeBefore { 3'000 };
constexpr Milliseconds timeFailed { 8'000 };
constexpr Milliseconds timeAfter { 11'000 };
/// Smaller changes of a share between samples of 300 requests are noise (three standard deviations).
constexpr double minChange = 0.1;

// At 100 ms per request, pampa's 12 slots run 120 requests a second, and its own callers use a third of that. If they
// used half, what is spare there would move less than the shift cap allows as soon as requests take a little longer
// than 100 ms, which they do on a busy machine.
const LoadCustomer caller { "bodega-andina", "", 120, 2'000, 500 };
const LoadCustomer neighbour { "bar-el-grifo", "", 40, 2'000, 500 };

struct RegionFault
{
    std::string what;
    std::string start; ///< Parameters of the stand-in's control.
    std::string end;
    std::string atReceiver {}; ///< Parameters for the targets of the receiving region.
    int paths { 1 }; ///< Number of different paths that the callers read, each equally often.
    bool targetsKeepAnswering { false }; ///< The reported failure is false.
};

void setTargets(Deployment &deployment, const std::string &region, const std::string &parameters)
{
    for (const DeployedTarget &target : deployment.targets()) {
        if (target.service.text() == "status" && target.locality.region.text() == region) {
            expect([&] {
                return deployment.targetControl("/control/set?target=" + target.target.text() + "&" + parameters);
            });
        }
    }
}

LoadPlan loadOf(Deployment &deployment, const LoadCustomer &customer, const std::string &region, Milliseconds duration,
                int paths)
{
    LoadPlan plan = readLoad(deployment, { customer }, duration, seed);
    std::erase_if(plan.origins, [&](const LoadOrigin &origin) {
        return origin.region != region;
    });
    plan.routes.front().timeout = Milliseconds(1'000);
    const LoadRoute route = plan.routes.front();
    for (int path = 1; path < paths; ++path) {
        plan.routes.push_back(route);
        plan.routes.back().path = "/lines/other-" + std::to_string(path);
    }
    return plan;
}

/// Returns how many of the caller's requests started in another region, for each sample since the given time.
std::vector<double> movedBySample(Deployment &deployment, TimePoint since, double bin, std::size_t bins)
{
    std::vector<double> moved(bins, 0);
    for (const LedgerEntry &entry : readLedger(deployment)) {
        const double at = std::chrono::duration<double>(entry.startedAt - since).count();
        const bool isMoved = entry.customer == caller.name && entry.target.find("cuyo") == std::string::npos;
        if (isMoved && at >= 0 && at < bin * static_cast<double>(bins)) {
            moved[static_cast<std::size_t>(at / bin)] += 1;
        }
    }
    return moved;
}

double unanswered(const LoadReport &report)
{
    const LoadReport::Totals totals = report.totals();
    return static_cast<double>(totals.sent - totals.answered) / static_cast<double>(totals.sent);
}

void checkCap(Deployment &deployment, TimePoint failedAt)
{
    const auto intervals =
        static_cast<std::size_t>(std::chrono::duration<double>(timeFailed).count() / intervalSeconds);
    const std::vector<double> moved = movedBySample(deployment, failedAt, intervalSeconds, intervals + 1);
    const double requests = caller.requestsPerSecond * intervalSeconds;
    for (std::size_t i = 0; i < moved.size(); ++i) {
        // Each request picks its region at random by the weights, so the bound allows three standard deviations.
        const double share = std::min(1.0, cap * static_cast<double>(i + 1));
        const double bound = requests * share + 3 * std::sqrt(requests * share * (1 - share));
        std::cout << "  interval " << i << ": " << moved[i] << " of " << requests << " moved, bound " << bound
                  << std::endl;
        CHECK(moved[i] <= bound);
    }
}

void checkReceiver(Deployment &deployment)
{
    const auto counters = parseObject(expect([&] {
                              return deployment.targetControl("/control/counters");
                          }))->getObject("targets");
    for (const DeployedTarget &target : deployment.targets()) {
        if (target.service.text() != "status" || target.locality.region.text() != "pampa") {
            continue;
        }
        const auto counted = counters->getObject(target.target.text());
        const int ran = counted->getValue<int>("ran");
        const int shed = counted->getValue<int>("shed");
        std::cout << "  " << target.target.text() << ": most in flight " << counted->getValue<int>("mostInFlight")
                  << " of " << target.slots << " slots, ran " << ran << ", shed " << shed << std::endl;
        CAPTURE(target.target.text());
        CHECK(counted->getValue<int>("mostInFlight") <= target.slots);
        CHECK(shed * 20 <= ran);
    }
}

void failRegionAndCheck(const RegionFault &fault)
{
    const auto deployment = startDeployment();
    for (const LoadCustomer &customer : { caller, neighbour }) {
        REQUIRE(outcomeOf(command(*deployment, "cuyo-a-1", "set customer " + customer.name + " rate 2000 burst 500"))
                == "in-force");
    }
    for (const char *region : { "cuyo", "pampa", "norte" }) {
        setTargets(*deployment, region, "serviceTimeMs=100");
    }
    const BootClock clock;
    LoadReport callers;
    LoadReport neighboursBefore;
    LoadReport neighboursAfter;
    TimePoint failedAt;
    StallWatch stalls;
    const TimePoint start = clock.now();
    const LoadPlan callerPlan = loadOf(*deployment, caller, "cuyo", timeBefore + timeFailed + timeAfter, fault.paths);
    const LoadPlan planBefore = loadOf(*deployment, neighbour, "pampa", timeBefore, fault.paths);
    const LoadPlan planAfter = loadOf(*deployment, neighbour, "pampa", timeFailed + timeAfter, fault.paths);
    runUnderLoad(callerPlan, callers, [&] {
        LoadRun(planBefore).run(neighboursBefore);
        if (!fault.atReceiver.empty()) {
            setTargets(*deployment, "pampa", fault.atReceiver);
        }
        failedAt = clock.now();
        setTargets(*deployment, "cuyo", fault.start);
        runUnderLoad(planAfter, neighboursAfter, [&] {
            std::this_thread::sleep_for(timeFailed);
            setTargets(*deployment, "cuyo", fault.end);
        });
    });
    const auto samples = static_cast<std::size_t>(
        std::chrono::duration<double>(timeBefore + timeFailed + timeAfter).count() / sampleSeconds);
    std::vector<double> shares = movedBySample(*deployment, start, sampleSeconds, samples);
    std::cout << fault.what << " (seed " << seed << "): unanswered in pampa before " << unanswered(neighboursBefore)
              << ", from the fault on " << unanswered(neighboursAfter) << "; unanswered in cuyo " << unanswered(callers)
              << ":";
    for (const auto &[reason, count] : callers.totals().reasons) {
        std::cout << " " << reason << "=" << count;
    }
    std::cout << "\n  share moved by sample of " << sampleSeconds << " s:";
    for (double &share : shares) {
        share /= caller.requestsPerSecond * sampleSeconds;
        std::cout << " " << share;
    }
    std::cout << ", changes of direction " << directionChanges(shares, minChange)
              << "\n  a thread of the test was late by " << stalls.stop().count() << " ms at most" << std::endl;
    CAPTURE(seed);
    checkCap(*deployment, failedAt);
    checkReceiver(*deployment);
    const double mostMoved = *std::max_element(shares.begin(), shares.end());
    if (fault.targetsKeepAnswering) {
        CHECK(mostMoved < minChange);
        CHECK(unanswered(callers) <= 0.01);
    } else {
        CHECK(mostMoved > cap / 2);
    }
    CHECK(directionChanges(shares, minChange) <= 2);
    CHECK(unanswered(neighboursAfter) <= unanswered(neighboursBefore) + 0.01);
}

} // namespace

TEST_CASE("The traffic of a region whose targets are down shifts within the cap and overloads no region")
{
    // Guards against a failed region that shifts all its traffic to the next one at once.
    failRegionAndCheck({ "targets down", "down=1", "down=0" });
}

TEST_CASE("The traffic of a region whose targets report failure and shed requests shifts within the cap")
{
    // Guards against health reports that shift the traffic faster than the cap allows.
    failRegionAndCheck({ "targets report failure and shed", "health=failing&shedAll=1", "health=ok&shedAll=0" });
}

TEST_CASE("The traffic of a region whose targets report failure but answer every request does not shift")
{
    // Guards against a false health report that takes a working region's targets away from its callers.
    RegionFault fault { "targets report failure falsely", "health=failing", "health=ok" };
    fault.targetsKeepAnswering = true;
    failRegionAndCheck(fault);
}

TEST_CASE("A region that is slow while its frozen reports look good shifts its traffic within the cap")
{
    // Guards against steering that trusts health and load reports over what it observes.
    failRegionAndCheck({ "slow with frozen reports", "freeze=1&serviceTimeMs=3000", "freeze=0&serviceTimeMs=100" });
}

TEST_CASE("A receiving region that reports idle targets with too many slots is not overloaded")
{
    // Guards against capacity that is granted because of a false load report.
    failRegionAndCheck({ "false load report", "down=1", "down=0", "claimedInFlight=0&claimedSlots=100" });
}

TEST_CASE("Reads of many paths from a region whose targets are down shift within the cap and overload no region")
{
    // Guards against the same failure as the first test. There all callers read one path, which soon is a crash
    // suspect, so that little traffic is left to shift.
    failRegionAndCheck({ "targets down, many paths", "down=1", "down=0", "", 500 });
}

TEST_CASE("Reads of many paths don't overload a receiving region that reports idle targets with too many slots")
{
    // Guards against capacity that is granted because of a false load report while there is traffic to shift.
    failRegionAndCheck(
        { "false load report, many paths", "down=1", "down=0", "claimedInFlight=0&claimedSlots=100", 500 });
}
