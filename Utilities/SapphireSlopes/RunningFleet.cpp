#include <SapphireSlopes/RunningFleet.h>

#include <Harness/WaitFor.h>
#include <LibCore/BootClock.h>
#include <LibOperator/OperatorClient.h>
#include <SapphireSlopes/PacedSenders.h>
#include <SapphireSlopes/ProcessUsage.h>
#include <SapphireSlopes/RequiredSize.h>

#include <algorithm>
#include <cmath>
#include <mutex>
#include <sstream>
#include <thread>

namespace Sapphire {

namespace {

constexpr double microsecondsPerMillisecond = 1'000;
constexpr double percent = 100;
constexpr double median = 0.5;
constexpr Milliseconds settleTime { 8'000 };
constexpr Milliseconds startTimeout { 20'000 };

std::string planText(const FleetShape &shape)
{
    const std::string vms = std::to_string(shape.vms / 4);
    std::ostringstream text;
    text
        << R"({"name":"slopes","regions":[{"name":"cuyo","fallbacks":["pampa","norte"],"zones":[{"name":"cuyo-a","vms":)"
        << vms << R"(},{"name":"cuyo-b","vms":)" << vms
        << R"(}]},{"name":"pampa","fallbacks":["norte","cuyo"],"zones":[{"name":"pampa-a","vms":)" << vms
        << R"(}]},{"name":"norte","fallbacks":["pampa","cuyo"],"zones":[{"name":"norte-a","vms":)" << vms
        << R"(}]}],"storeRegion":"cuyo","network":{},"services":[{"name":"status","access":"keyed","targetsPerZone":)"
        << shape.targetsPerZone << R"(,"slots":6,"connections":800,"serviceMicroseconds":5000}],"customers":[)";
    for (int i = 0; i < shape.customers; ++i) {
        text << (i > 0 ? "," : "") << R"({"name":"customer-)" << i << R"(","rate":50,"burst":20})";
    }
    text << "]}";
    return text.str();
}

double milliseconds(Microseconds time)
{
    return static_cast<double>(time.count()) / microsecondsPerMillisecond;
}

/// Returns the quantile of the values at the given fraction; 0 if there are none.
double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

} // namespace

struct RunningFleet::Sample
{
    TimePoint at {};
    std::vector<ProcessUsage> vms {};
    PlatformCounters platform {};
    double fleetBytes { 0 };
    double storeBytes { 0 };
};

Result<std::unique_ptr<RunningFleet>> RunningFleet::create(const FleetShape &shape)
{
    BOOST_LEAF_AUTO(folder, ScratchFolder::create("sapphire-slopes-plan"));
    BOOST_LEAF_AUTO(file, folder->write("plan.json", planText(shape)));
    BOOST_LEAF_AUTO(plan, DeploymentPlan::load(file.string()));
    std::unique_ptr<RunningFleet> fleet(new RunningFleet());
    fleet->m_shape = shape;
    BOOST_LEAF_ASSIGN(fleet->m_deployment, Deployment::create(plan, {}));
    std::this_thread::sleep_for(settleTime);
    return fleet;
}

Result<RunningFleet::Sample> RunningFleet::sample()
{
    Sample sample;
    sample.at = BootClock().now();
    for (const DeployedVm &vm : m_deployment->vms()) {
        sample.vms.push_back(ProcessUsage::of(vm.process->id()));
    }
    BOOST_LEAF_ASSIGN(sample.platform, m_deployment->platform().counters());
    BOOST_LEAF_AUTO(links, m_deployment->proxy().counters());
    for (const LinkCounters &link : links) {
        const auto bytes = static_cast<double>(link.bytes.toServer + link.bytes.toClient);
        if (link.name.rfind("fleet:", 0) == 0) {
            sample.fleetBytes += bytes;
        } else if (link.name.rfind("store:", 0) == 0) {
            sample.storeBytes += bytes;
        }
    }
    return sample;
}

FleetCost RunningFleet::costBetween(const Sample &before, const Sample &after)
{
    FleetCost cost;
    const double seconds = std::chrono::duration<double>(after.at - before.at).count();
    const auto vms = static_cast<double>(after.vms.size());
    for (std::size_t i = 0; i < after.vms.size(); ++i) {
        const double used = (after.vms[i].processorSeconds - before.vms[i].processorSeconds) / seconds * percent;
        cost.corePercent += used / vms;
        cost.maxCorePercent = std::max(cost.maxCorePercent, used);
        cost.residentMegabytes += after.vms[i].residentBytes / RequiredSize::megabyte / vms;
    }
    // Each byte between two VMs counts twice, for its sender and its receiver.
    cost.fleetBytes = 2 * (after.fleetBytes - before.fleetBytes) / seconds / vms;
    cost.storeBytes = (after.storeBytes - before.storeBytes) / seconds / vms;
    cost.reads = static_cast<double>(after.platform.reads - before.platform.reads) / seconds;
    cost.writes = static_cast<double>(after.platform.writes - before.platform.writes) / seconds;
    return cost;
}

Result<FleetCost> RunningFleet::rest(Milliseconds interval)
{
    BOOST_LEAF_AUTO(before, sample());
    std::this_thread::sleep_for(interval);
    BOOST_LEAF_AUTO(after, sample());
    return costBetween(before, after);
}

Outcome<std::string> RunningFleet::sendChange(int number, std::size_t vm) const
{
    constexpr int rates = 7;
    const std::string address = m_deployment->vms()[vm % m_deployment->vms().size()].operatorAddress;
    const OperatorClient client({ { address }, m_deployment->operatorToken(), "ana" });
    const std::string text = "set customer customer-" + std::to_string(number % m_shape.customers) + " rate "
        + std::to_string(50 + number % rates) + " burst 20";
    return capture([&] {
        return client.send(text, "slopes-" + std::to_string(number));
    });
}

Result<ChangeCost> RunningFleet::change(double changesPerSecond, Milliseconds interval)
{
    constexpr double secondsToBeInForce = 8;
    const int total = static_cast<int>(changesPerSecond * std::chrono::duration<double>(interval).count());
    const int threads = static_cast<int>(std::ceil(changesPerSecond * secondsToBeInForce)) + 2;
    const int first = m_nextChange;
    m_nextChange += total;
    const BootClock clock;
    std::mutex mutex;
    std::vector<double> times;
    ChangeCost result;
    BOOST_LEAF_AUTO(before, sample());
    PacedSenders { changesPerSecond, threads }.run(total, [&](int i) {
        const TimePoint sentAt = clock.now();
        const Outcome<std::string> answer = sendChange(first + i, static_cast<std::size_t>(i));
        const double taken = milliseconds(clock.now() - sentAt);
        const bool isInForce = answer && answer.value().find("\"outcome\":\"in-force\"") != std::string::npos;
        const std::lock_guard guard(mutex);
        ++(isInForce ? result.inForce : result.others);
        times.push_back(taken);
    });
    BOOST_LEAF_AUTO(after, sample());
    result.cost = costBetween(before, after);
    result.medianMilliseconds = quantile(times, median);
    result.worstMilliseconds = quantile(times, 1);
    return result;
}

Result<LookUpCost> RunningFleet::lookUp(double lookUpsPerSecond, Milliseconds interval)
{
    constexpr int threads = 8;
    constexpr double ninetyNinth = 0.99;
    const DeployedVm &vm = m_deployment->vms().front();
    const std::string authorization = "Bearer " + m_deployment->key("customer-0");
    const HttpCall call { "GET",
                          "http://" + vm.callerAddress + "/v1/lookup",
                          { { "Authorization", authorization }, { "Connection", "close" } },
                          "" };
    const int total = static_cast<int>(lookUpsPerSecond * std::chrono::duration<double>(interval).count());
    const BootClock clock;
    std::mutex mutex;
    std::vector<double> times;
    LookUpCost cost;
    const ProcessUsage before = ProcessUsage::of(vm.process->id());
    const TimePoint begin = clock.now();
    PacedSenders { lookUpsPerSecond, threads }.run(total, [&](int) {
        const TimePoint sentAt = clock.now();
        const Outcome<HttpAnswer> answer = capture([&] {
            return call.run();
        });
        const double taken = milliseconds(clock.now() - sentAt);
        const std::lock_guard guard(mutex);
        if (answer && answer.value().status == 200) {
            times.push_back(taken);
        } else {
            ++cost.failed;
            cost.lastFailure =
                answer ? std::to_string(answer.value().status) + " " + answer.value().body : answer.error().message;
        }
    });
    const double seconds = std::chrono::duration<double>(clock.now() - begin).count();
    const ProcessUsage after = ProcessUsage::of(vm.process->id());
    cost.corePercent = (after.processorSeconds - before.processorSeconds) / seconds * percent;
    cost.perSecond = static_cast<double>(times.size()) / seconds;
    cost.medianMilliseconds = quantile(times, median);
    cost.ninetyNinthMilliseconds = quantile(times, ninetyNinth);
    return cost;
}

Result<StartCost> RunningFleet::restart(const FleetCost &resting)
{
    DeployedVm &vm = m_deployment->vms().back();
    vm.process->kill();
    const BootClock clock;
    BOOST_LEAF_AUTO(before, m_deployment->platform().counters());
    const TimePoint begin = clock.now();
    BOOST_LEAF_CHECK(m_deployment->startVm(vm.vm.text()));
    BOOST_LEAF_CHECK(m_deployment->waitUntilServing(vm.vm.text(), after(startTimeout)));
    const Microseconds taken = clock.now() - begin;
    BOOST_LEAF_AUTO(counters, m_deployment->platform().counters());
    const double seconds = std::chrono::duration<double>(taken).count();
    const auto vms = static_cast<double>(m_deployment->vms().size());
    const double others = (vms - 1) / vms * seconds;
    StartCost cost;
    cost.reads = static_cast<double>(counters.reads - before.reads) - resting.reads * others;
    cost.writes = static_cast<double>(counters.writes - before.writes) - resting.writes * others;
    cost.milliseconds = milliseconds(taken);
    return cost;
}

} // namespace Sapphire
