#include <SapphireSlopes/ProcessSlopes.h>

#include <SapphireSlopes/RequiredSize.h>
#include <SapphireSlopes/RunningFleet.h>

#include <algorithm>
#include <iostream>
#include <utility>

namespace Sapphire {

namespace {

/// The resource use that most groups of running fleets measure.
class CostSlopes
{
public:
    CostSlopes(const std::string &condition, const std::string &size, double requiredSize)
        : m_core(
            { condition + ": processor of a VM", "% of a core", size, requiredSize, RequiredSize::controlCorePercent })
        , m_maxCore({ condition + ": processor of the busiest VM", "% of a core", size, requiredSize,
                      RequiredSize::controlCorePercent })
        , m_resident(
              { condition + ": resident memory of a VM", "MB", size, requiredSize, RequiredSize::controlMegabytes })
        , m_fleetBytes({ condition + ": bytes of a VM between zones", "B/s", size, requiredSize,
                         RequiredSize::controlBytesPerSecond })
        , m_storeBytes({ condition + ": bytes between a VM and the platform", "B/s", size, requiredSize,
                         RequiredSize::controlBytesPerSecond })
        , m_reads({ condition + ": reads at the platform", "1/s", size, requiredSize,
                    RequiredSize::platformReadsPerSecond })
        , m_writes({ condition + ": writes at the platform", "1/s", size, requiredSize,
                     RequiredSize::platformWritesPerSecond })
    {
    }

    void add(double size, const FleetCost &cost)
    {
        m_core.add(size, cost.corePercent);
        m_maxCore.add(size, cost.maxCorePercent);
        m_resident.add(size, cost.residentMegabytes);
        m_fleetBytes.add(size, cost.fleetBytes);
        m_storeBytes.add(size, cost.storeBytes);
        m_reads.add(size, cost.reads);
        m_writes.add(size, cost.writes);
    }

    std::vector<Slope> slopes() const
    {
        return { m_core, m_maxCore, m_resident, m_fleetBytes, m_storeBytes, m_reads, m_writes };
    }

private:
    Slope m_core;
    Slope m_maxCore;
    Slope m_resident;
    Slope m_fleetBytes;
    Slope m_storeBytes;
    Slope m_reads;
    Slope m_writes;
};

void append(std::vector<Slope> &slopes, const std::vector<Slope> &more)
{
    slopes.insert(slopes.end(), more.begin(), more.end());
}

void logOutcomes(const ChangeCost &changes, double size)
{
    std::cerr << "changes at size " << size << ": " << changes.inForce << " in force, " << changes.others
              << " with another outcome\n";
}

/// Returns the pulls by a VM a second, averaged over the VMs: from its ring within the zone, from the two other
/// regions, and from the other zone of its region, which only half of the VMs have.
double pullsOf(const FleetShape &shape)
{
    constexpr int ringPeers = 3;
    constexpr double otherZonesAndRegions = 2.5;
    return std::min(ringPeers, shape.vms / 4 - 1) + otherZonesAndRegions;
}

Result<std::vector<Slope>> restSlopes(const std::vector<std::pair<double, FleetShape>> &shapes, const std::string &size,
                                      double requiredSize, Milliseconds interval)
{
    CostSlopes resting("at rest", size, requiredSize);
    for (const auto &[x, shape] : shapes) {
        BOOST_LEAF_AUTO(fleet, RunningFleet::create(shape));
        BOOST_LEAF_AUTO(cost, fleet->rest(interval));
        resting.add(x, cost);
    }
    return resting.slopes();
}

} // namespace

NodeSlopes::NodeSlopes(std::vector<int> sizes, MeasurementIntervals intervals)
    : m_sizes(std::move(sizes)), m_intervals(intervals)
{
}

Result<std::vector<Slope>> NodeSlopes::measure()
{
    const std::string nodes = "nodes";
    // From three VMs of the ring, one in each of three other zones and one in each of four other regions.
    constexpr double pullsAtRequiredSize = 10;
    CostSlopes resting("at rest", nodes, RequiredSize::nodes);
    CostSlopes changing("under changes", nodes, RequiredSize::nodes);
    Slope coreOfPulls({ "at rest: processor of a VM", "% of a core", "pulls by a VM a second", pullsAtRequiredSize,
                        RequiredSize::controlCorePercent });
    Slope median(
        { "change in force, median", "ms", nodes, RequiredSize::nodes, RequiredSize::propagationMilliseconds });
    Slope worst({ "change in force, worst", "ms", nodes, RequiredSize::nodes, RequiredSize::propagationMilliseconds });
    Slope startReads({ "start: reads at the platform", "reads", nodes, RequiredSize::nodes });
    Slope startWrites({ "start: writes at the platform", "writes", nodes, RequiredSize::nodes });
    Slope startTime({ "start: until the VM serves", "ms", nodes, RequiredSize::nodes });
    for (const int size : m_sizes) {
        const FleetShape shape { size };
        const double x = size;
        BOOST_LEAF_AUTO(fleet, RunningFleet::create(shape));
        BOOST_LEAF_AUTO(rest, fleet->rest(m_intervals.rest));
        resting.add(x, rest);
        coreOfPulls.add(pullsOf(shape), rest.corePercent);
        BOOST_LEAF_AUTO(changes, fleet->change(m_intervals.changesPerSecond, m_intervals.change));
        logOutcomes(changes, x);
        changing.add(x, changes.cost);
        median.add(x, changes.medianMilliseconds);
        worst.add(x, changes.worstMilliseconds);
        BOOST_LEAF_AUTO(start, fleet->restart(rest));
        startReads.add(x, start.reads);
        startWrites.add(x, start.writes);
        startTime.add(x, start.milliseconds);
    }
    std::vector<Slope> slopes = resting.slopes();
    slopes.push_back(coreOfPulls);
    append(slopes, changing.slopes());
    append(slopes, { median, worst, startReads, startWrites, startTime });
    return slopes;
}

Result<std::vector<Slope>> ChangeSlopes::measure()
{
    constexpr double rates[] { 1, 2, 4, 8 };
    const std::string size = "changes a second";
    CostSlopes changing("12 VMs", size, RequiredSize::changesPerSecond);
    Slope median({ "change in force, median", "ms", size, RequiredSize::changesPerSecond,
                   RequiredSize::propagationMilliseconds });
    Slope worst({ "change in force, worst", "ms", size, RequiredSize::changesPerSecond,
                  RequiredSize::propagationMilliseconds });
    BOOST_LEAF_AUTO(fleet, RunningFleet::create({}));
    for (const double rate : rates) {
        BOOST_LEAF_AUTO(changes, fleet->change(rate, m_intervals.change));
        logOutcomes(changes, rate);
        changing.add(rate, changes.cost);
        median.add(rate, changes.medianMilliseconds);
        worst.add(rate, changes.worstMilliseconds);
    }
    std::vector<Slope> slopes = changing.slopes();
    append(slopes, { median, worst });
    return slopes;
}

Result<std::vector<Slope>> LookUpRateSlopes::measure()
{
    constexpr double rates[] { 70, 140, 280, 550 };
    constexpr double wholeCore = 100;
    const std::string size = "look-ups a second";
    const double requiredSize = RequiredSize::lookUpsPerSecond;
    Slope core({ "12 VMs: processor of the VM that answers", "% of a core", size, requiredSize, wholeCore });
    Slope median({ "look-up on a new connection, median", "ms", size, requiredSize });
    Slope late({ "look-up on a new connection, 99th percentile", "ms", size, requiredSize });
    BOOST_LEAF_AUTO(fleet, RunningFleet::create({}));
    for (const double rate : rates) {
        BOOST_LEAF_AUTO(cost, fleet->lookUp(rate, m_intervals.rest));
        std::cerr << "look-ups at " << rate << " a second: " << cost.perSecond << " answered, " << cost.failed
                  << " failed " << cost.lastFailure << '\n';
        core.add(cost.perSecond, cost.corePercent);
        median.add(cost.perSecond, cost.medianMilliseconds);
        late.add(cost.perSecond, cost.ninetyNinthMilliseconds);
    }
    return std::vector<Slope> { core, median, late };
}

Result<std::vector<Slope>> TargetCountSlopes::measure()
{
    std::vector<std::pair<double, FleetShape>> shapes;
    for (const int perZone : { 2, 4, 8, 16 }) {
        const FleetShape shape { .targetsPerZone = perZone };
        shapes.emplace_back(shape.targets(), shape);
    }
    return restSlopes(shapes, "sites", RequiredSize::targetCount, m_intervals.rest);
}

Result<std::vector<Slope>> CustomerSlopes::measure()
{
    std::vector<std::pair<double, FleetShape>> shapes;
    for (const int customers : { 8, 24, 48, 96 }) {
        shapes.emplace_back(customers, FleetShape { .customers = customers });
    }
    return restSlopes(shapes, "customers", RequiredSize::customers, m_intervals.rest);
}

} // namespace Sapphire
