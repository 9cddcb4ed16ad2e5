#include <SapphireSlopes/FleetSlopes.h>

#include <LibCore/ManualClock.h>
#include <LibFleet/FleetSimulation.h>
#include <SapphireSlopes/LookUpBench.h>
#include <SapphireSlopes/Meter.h>
#include <SapphireSlopes/RequiredSize.h>

namespace Sapphire {

namespace {

constexpr std::size_t sizes[] { 100, 200, 400, 730 };
constexpr std::uint64_t seed = 20261204;
constexpr Milliseconds warmUp { 8'000 };
constexpr Milliseconds idleInterval { 4'000 };
constexpr Milliseconds longestWait { 30'000 };
constexpr double millisecondsPerSecond = 1'000;
constexpr int repetitions = 20;
constexpr int lookUps = 200;

/// Before each tick, lets two VMs report a random load of each target in their region, and each VM report its region's
/// usage.
void reportTargets(FleetSimulation &fleet)
{
    fleet.beforeTick = [&fleet](FleetSimulation::Vm &vm, std::size_t index, TimePoint at) {
        constexpr std::size_t zones = RequiredSize::regions * RequiredSize::zonesPerRegion;
        constexpr int slots = 6;
        const RegionId &region = vm.membership.locality().region;
        for (const char *service : { "status", "booking", "archive" }) {
            vm.reports.takeUsage({ region, ServiceId(service), at, 90, static_cast<int>(fleet.random.below(30)) }, at);
        }
        const std::size_t regionVms = fleet.vms.size() / RequiredSize::regions;
        const std::size_t position =
            index / zones * RequiredSize::zonesPerRegion + index % RequiredSize::zonesPerRegion;
        for (std::size_t target = 0; target < RequiredSize::targetsPerRegion; ++target) {
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
    return { name, unit, "nodes", RequiredSize::nodes, ceiling };
}

/// Collects the measurements of simulated fleets of all sizes.
class FleetMeasurement
{
public:
    [[nodiscard]] Result<void> add(std::size_t size)
    {
        m_size = static_cast<double>(size);
        const double heapBefore = Meter::heapBytes();
        FleetSimulation fleet(size, RequiredSize::regions, RequiredSize::zonesPerRegion, seed);
        reportTargets(fleet);
        fleet.takeList();
        fleet.runFor(warmUp);
        measureIdle(fleet);
        m_memory.add(m_size, (Meter::heapBytes() - heapBefore) / m_size / RequiredSize::megabyte);
        measureChange(fleet);
        BOOST_LEAF_CHECK(measureLookUp(fleet));
        measureZoneLoss(fleet);
        return {};
    }

    std::vector<Slope> slopes() const
    {
        return { m_memory,      m_calls,      m_bytes,      m_maxBytes, m_processorTime, m_applyTime,     m_confirmTime,
                 m_changeBytes, m_rosterTime, m_lookUpTime, m_lossTime, m_lossBytes,     m_lossSuspicions };
    }

private:
    void measureIdle(FleetSimulation &fleet)
    {
        fleet.resetCounts();
        const Microseconds begin = Meter::threadCpuTime();
        fleet.runFor(idleInterval);
        const double seconds = static_cast<double>(idleInterval.count()) / millisecondsPerSecond;
        m_processorTime.add(m_size, static_cast<double>((Meter::threadCpuTime() - begin).count()) / seconds / m_size);
        m_calls.add(m_size, fleet.meanCalls() / seconds);
        m_idleBytes = fleet.meanBytes(m_region) / seconds;
        m_bytes.add(m_size, m_idleBytes);
        m_maxBytes.add(m_size, fleet.mostBytes() / seconds);
    }

    void measureChange(FleetSimulation &fleet)
    {
        fleet.resetCounts();
        fleet.vms[1]->configuration.addEntry();
        const ConfigurationVersion changed(1);
        const Milliseconds appliedIn = fleet.runUntil(
            [&] {
                return fleet.allHaveVersion(changed);
            },
            longestWait);
        const Milliseconds confirmedIn = appliedIn
            + fleet.runUntil(
                [&] {
                    return isConfirmed(fleet, changed);
                },
                longestWait);
        m_applyTime.add(m_size, static_cast<double>(appliedIn.count()));
        m_confirmTime.add(m_size, static_cast<double>(confirmedIn.count()));
        const double idleBytes = m_idleBytes * static_cast<double>(confirmedIn.count()) / millisecondsPerSecond;
        m_changeBytes.add(m_size, fleet.meanBytes(m_region) - idleBytes);
    }

    Result<void> measureLookUp(const FleetSimulation &fleet)
    {
        const Membership &membership = fleet.vms.front()->membership;
        m_rosterTime.add(m_size, Meter::medianMicroseconds(repetitions, [&] {
                             (void)membership.vms(fleet.now);
                         }));
        ManualClock clock;
        clock.advance(fleet.now - clock.now());
        const LookUpBench bench(membership.self(), membership.locality(), membership, clock);
        bool hasAnswers = true;
        m_lookUpTime.add(m_size, Meter::meanMicroseconds(lookUps, [&] {
                             hasAnswers = bench.lookUp() && hasAnswers;
                         }));
        if (!hasAnswers) {
            return fail(ErrorCode::Internal, "a look-up named no VM");
        }
        return {};
    }

    /// Stops the VMs of the last zone and measures until all others suspect them.
    void measureZoneLoss(FleetSimulation &fleet)
    {
        constexpr std::size_t zones = RequiredSize::regions * RequiredSize::zonesPerRegion;
        for (std::size_t i = zones - 1; i < fleet.vms.size(); i += zones) {
            fleet.vms[i]->isDown = true;
        }
        fleet.resetCounts();
        const Milliseconds suspectedIn = fleet.runUntil(
            [&] {
                return fleet.areStoppedSuspected();
            },
            longestWait);
        m_lossTime.add(m_size, static_cast<double>(suspectedIn.count()));
        m_lossBytes.add(m_size,
                        fleet.meanBytes(m_region) * millisecondsPerSecond / static_cast<double>(suspectedIn.count()));
        m_lossSuspicions.add(m_size, static_cast<double>(fleet.falseSuspicions()));
    }

    const RegionId m_region { "region-0" };
    double m_size { 0 };
    double m_idleBytes { 0 };
    Slope m_memory { described("membership and exchange", "MB", RequiredSize::controlMegabytes) };
    Slope m_calls { described("pulls by a VM", "1/s") };
    Slope m_bytes { described("bytes of messages sent and received", "B/s", RequiredSize::controlBytesPerSecond) };
    Slope m_maxBytes { described("bytes of messages, VM with the most", "B/s", RequiredSize::controlBytesPerSecond) };
    Slope m_processorTime { described("build and merge messages", "us/s", RequiredSize::controlMicroseconds) };
    Slope m_applyTime { described("change applied everywhere", "ms", RequiredSize::propagationMilliseconds) };
    Slope m_confirmTime { described("change known as confirmed everywhere", "ms",
                                    RequiredSize::propagationMilliseconds) };
    Slope m_changeBytes { described("bytes of one change at a VM", "B") };
    Slope m_rosterTime { described("list the roster", "us") };
    Slope m_lookUpTime { described("whole look-up", "us", RequiredSize::lookUpMicroseconds) };
    Slope m_lossTime { described("zone lost: all its VMs suspect everywhere", "ms") };
    Slope m_lossBytes { described("bytes of messages after the loss of a zone", "B/s",
                                  RequiredSize::controlBytesPerSecond) };
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
