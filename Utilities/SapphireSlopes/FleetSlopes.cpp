#include <SapphireSlopes/FleetSlopes.h>

#include <LibCore/ManualClock.h>
#include <LibFleet/FleetSimulation.h>
#include <SapphireSlopes/LookUpBench.h>
#include <SapphireSlopes/Meter.h>
#include <SapphireSlopes/TargetSize.h>

namespace Sapphire {

namespace {

constexpr std::size_t sizes[] { 100, 200, 400, 730 };
constexpr std::uint64_t seed = 20261204;
constexpr Milliseconds warmUp { 8'000 };
constexpr Milliseconds quiet { 4'000 };
constexpr Milliseconds longestWait { 30'000 };
constexpr double millisecondsPerSecond = 1'000;
constexpr int repetitions = 20;
constexpr int lookUps = 200;

/// Has two observers report on each target of each region with loads that change at random, and each VM state its
/// region's room.
void reportTargets(FleetSimulation &fleet)
{
    fleet.beforeTick = [&fleet](FleetSimulation::Vm &vm, std::size_t index, TimePoint at) {
        constexpr std::size_t zones = TargetSize::regions * TargetSize::zonesPerRegion;
        constexpr int slots = 6;
        const RegionId &region = vm.membership.place().region;
        for (const char *service : { "status", "booking", "archive" }) {
            vm.reports.takeRoom({ region, ServiceId(service), at, 90, static_cast<int>(fleet.random.below(30)) }, at);
        }
        const std::size_t regionVms = fleet.vms.size() / TargetSize::regions;
        const std::size_t position = index / zones * TargetSize::zonesPerRegion + index % TargetSize::zonesPerRegion;
        for (std::size_t target = 0; target < TargetSize::sitesPerRegion; ++target) {
            const std::size_t observer = target * 2 % regionVms;
            if (position != observer && position != (observer + 1) % regionVms) {
                continue;
            }
            TargetReport report;
            report.target = TargetId(region.text() + "-target-" + std::to_string(target));
            report.observer = vm.membership.self().vm;
            report.observedAt = at;
            report.slots = slots;
            report.inFlight = static_cast<int>(fleet.random.below(slots + 1));
            report.latency = Microseconds(2'000);
            vm.reports.takeReport(report, at);
        }
    };
}

bool isConfirmed(const FleetSimulation &fleet, ConfigurationVersion version)
{
    return fleet.count([&](const FleetSimulation::Vm &, const RosterVm &entry) {
        return !fleet.vms[fleet.indexes.at(entry.process.vm)]->isDown && entry.confirmedVersion < version;
    }) == 0;
}

SlopeDescription described(const std::string &name, const std::string &unit, std::optional<double> ceiling = {})
{
    return { name, unit, "nodes", TargetSize::nodes, ceiling };
}

/// Measures one simulated fleet after the other.
class FleetMeasurement
{
public:
    [[nodiscard]] Result<void> add(std::size_t size)
    {
        m_size = static_cast<double>(size);
        const double heapBefore = Meter::heapBytes();
        FleetSimulation fleet(size, TargetSize::regions, TargetSize::zonesPerRegion, seed);
        reportTargets(fleet);
        fleet.takeList();
        fleet.runFor(warmUp);
        measureQuiet(fleet);
        m_memory.add(m_size, (Meter::heapBytes() - heapBefore) / m_size / TargetSize::megabyte);
        measureChange(fleet);
        BOOST_LEAF_CHECK(measureLookUp(fleet));
        measureZoneLoss(fleet);
        return {};
    }

    std::vector<Slope> slopes() const
    {
        return { m_memory,      m_calls,      m_bytes,      m_most,     m_time,      m_spread,        m_known,
                 m_changeBytes, m_rosterTime, m_lookUpTime, m_lossTime, m_lossBytes, m_lossSuspicions };
    }

private:
    void measureQuiet(FleetSimulation &fleet)
    {
        fleet.resetCounts();
        const Microseconds begin = Meter::threadTime();
        fleet.runFor(quiet);
        const double seconds = static_cast<double>(quiet.count()) / millisecondsPerSecond;
        m_time.add(m_size, static_cast<double>((Meter::threadTime() - begin).count()) / seconds / m_size);
        m_calls.add(m_size, fleet.meanCalls() / seconds);
        m_quietBytes = fleet.meanBytes(m_region) / seconds;
        m_bytes.add(m_size, m_quietBytes);
        m_most.add(m_size, fleet.mostBytes() / seconds);
    }

    void measureChange(FleetSimulation &fleet)
    {
        fleet.resetCounts();
        fleet.vms[1]->configuration.addEntry();
        const ConfigurationVersion changed(1);
        const Milliseconds spreadIn = fleet.runUntil(
            [&] {
                return fleet.allHaveVersion(changed);
            },
            longestWait);
        const Milliseconds knownIn = spreadIn
            + fleet.runUntil(
                [&] {
                    return isConfirmed(fleet, changed);
                },
                longestWait);
        m_spread.add(m_size, static_cast<double>(spreadIn.count()));
        m_known.add(m_size, static_cast<double>(knownIn.count()));
        const double quietBytes = m_quietBytes * static_cast<double>(knownIn.count()) / millisecondsPerSecond;
        m_changeBytes.add(m_size, fleet.meanBytes(m_region) - quietBytes);
    }

    Result<void> measureLookUp(const FleetSimulation &fleet)
    {
        const Membership &membership = fleet.vms.front()->membership;
        m_rosterTime.add(m_size, Meter::medianMicroseconds(repetitions, [&] {
                             (void)membership.vms(fleet.now);
                         }));
        ManualClock clock;
        clock.advance(fleet.now - clock.now());
        const LookUpBench bench(membership.self(), membership.place(), membership, clock);
        bool hasAnswers = true;
        m_lookUpTime.add(m_size, Meter::meanMicroseconds(lookUps, [&] {
                             hasAnswers = bench.lookUp() && hasAnswers;
                         }));
        if (!hasAnswers) {
            return fail(ErrorCode::Internal, "a look-up named no VM");
        }
        return {};
    }

    /// Stops the VMs of the last zone.
    void measureZoneLoss(FleetSimulation &fleet)
    {
        constexpr std::size_t zones = TargetSize::regions * TargetSize::zonesPerRegion;
        for (std::size_t i = zones - 1; i < fleet.vms.size(); i += zones) {
            fleet.vms[i]->isDown = true;
        }
        fleet.resetCounts();
        const Milliseconds lossIn = fleet.runUntil(
            [&] {
                return fleet.areStoppedSuspected();
            },
            longestWait);
        m_lossTime.add(m_size, static_cast<double>(lossIn.count()));
        m_lossBytes.add(m_size,
                        fleet.meanBytes(m_region) * millisecondsPerSecond / static_cast<double>(lossIn.count()));
        m_lossSuspicions.add(m_size, static_cast<double>(fleet.falseSuspicions()));
    }

    const RegionId m_region { "region-0" };
    double m_size { 0 };
    double m_quietBytes { 0 };
    Slope m_memory { described("membership and exchange", "MB", TargetSize::controlMegabytes) };
    Slope m_calls { described("pulls by a VM", "1/s") };
    Slope m_bytes { described("bytes of messages sent and received", "B/s", TargetSize::controlBytesPerSecond) };
    Slope m_most { described("bytes of messages, VM with most", "B/s", TargetSize::controlBytesPerSecond) };
    Slope m_time { described("build and merge messages", "us/s", TargetSize::controlMicroseconds) };
    Slope m_spread { described("change applied everywhere", "ms", TargetSize::spreadMilliseconds) };
    Slope m_known { described("change known as confirmed everywhere", "ms", TargetSize::spreadMilliseconds) };
    Slope m_changeBytes { described("bytes of one change at a VM", "B") };
    Slope m_rosterTime { described("list the roster", "us") };
    Slope m_lookUpTime { described("whole look-up", "us", TargetSize::lookUpMicroseconds) };
    Slope m_lossTime { described("zone lost: all its VMs suspect everywhere", "ms") };
    Slope m_lossBytes { described("bytes of messages after the loss of a zone", "B/s",
                                  TargetSize::controlBytesPerSecond) };
    Slope m_lossSuspicions { described("false suspicions in 40 rosters after the loss of a zone", "VMs") };
};

} // namespace

Result<std::vector<Slope>> FleetSlopes::measure()
{
    FleetMeasurement measurement;
    for (const std::size_t size : sizes) {
        BOOST_LEAF_CHECK(measurement.add(size));
    }
    return measurement.slopes();
}

} // namespace Sapphire
