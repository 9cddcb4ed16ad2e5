#include <SapphireSlopes/ComponentSlopes.h>

#include <Fakes/FakeConfigurationSource.h>
#include <Fakes/FakeRoster.h>
#include <LibCore/BootClock.h>
#include <LibCore/ManualClock.h>
#include <LibLimit/CustomerLimiter.h>
#include <LibPlatform/VmListText.h>
#include <LibRequest/RequestLedger.h>
#include <LibSteering/TargetSelector.h>
#include <SapphireSlopes/DiscardingTables.h>
#include <SapphireSlopes/Meter.h>
#include <SapphireSlopes/NoLoans.h>
#include <SapphireSlopes/RequiredSize.h>

#include <memory>

namespace Sapphire {

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr int repetitions = 20;

Locality localityOf(std::size_t vm)
{
    const std::string region = "region-" + std::to_string(vm % RequiredSize::regions);
    const std::size_t zone = vm / RequiredSize::regions % RequiredSize::zonesPerRegion;
    return { RegionId(region), AvailabilityZoneId(region + "-" + std::to_string(zone)) };
}

CustomerId customerOf(std::size_t number)
{
    return CustomerId("customer-" + std::to_string(number));
}

Configuration configurationWith(std::size_t customers)
{
    constexpr double rate = 1'000;
    Configuration configuration;
    configuration.version = ConfigurationVersion(1);
    for (std::size_t i = 0; i < customers; ++i) {
        configuration.customers[customerOf(i)] = { customerOf(i), rate, rate, {} };
    }
    return configuration;
}

} // namespace

Result<std::vector<Slope>> VmListSlopes::measure()
{
    constexpr std::size_t sizes[] { 100, 200, 400, RequiredSize::nodes };
    Slope bytes({ "list that each VM reads each second", "B/s", "nodes", RequiredSize::nodes,
                  RequiredSize::controlBytesPerSecond });
    Slope time({ "parse the list", "us/s", "nodes", RequiredSize::nodes, RequiredSize::controlMicroseconds });
    for (const std::size_t size : sizes) {
        std::vector<ListedVm> vms;
        for (std::size_t i = 0; i < size; ++i) {
            const std::string address = "10.0." + std::to_string(i / 256) + "." + std::to_string(i % 256);
            vms.push_back({ VmId("vm-" + std::to_string(i)), localityOf(i), { address, 7401, 7402 }, false });
        }
        const std::string text = vmListText(vms);
        const auto x = static_cast<double>(size);
        bytes.add(x, static_cast<double>(text.size()));
        bool isParsed = true;
        time.add(x, Meter::medianMicroseconds(repetitions, [&] {
                     isParsed = capture([&] {
                                    return parseVmList(text);
                                })
                         && isParsed;
                 }));
        if (!isParsed) {
            return fail(ErrorCode::Internal, "the list of VMs can't be parsed");
        }
    }
    return std::vector<Slope> { bytes, time };
}

Result<std::vector<Slope>> LimiterSlopes::measure()
{
    constexpr std::size_t sizes[] { 125, 250, 500, 1'000 };
    constexpr int rounds = 20;
    const Milliseconds fill { 2'000 };
    Slope memory(
        { "accounts of customers", "MB", "customers", RequiredSize::customers, RequiredSize::controlMegabytes });
    Slope admitTime(
        { "admit a request", "us", "customers", RequiredSize::customers, RequiredSize::lookUpMicroseconds });
    Slope firstTime(
        { "admit each customer's first request after the roster changed", "us", "customers", RequiredSize::customers });
    Slope refreshTime(
        { "refresh, once a second", "us/s", "customers", RequiredSize::customers, RequiredSize::controlMicroseconds });
    const VmIncarnation self { VmId("vm-0"), Incarnation(1) };
    for (const std::size_t size : sizes) {
        const auto x = static_cast<double>(size);
        FakeRoster roster;
        for (std::size_t i = 1; i < RequiredSize::nodes; ++i) {
            roster.add({ VmId("vm-" + std::to_string(i)), Incarnation(1) }, localityOf(i));
        }
        FakeConfigurationSource configuration;
        configuration.set(configurationWith(size));
        ManualClock clock;
        NoLoans loans;
        const double heapBefore = Meter::heapBytes();
        CustomerLimiter limiter(self, localityOf(0), clock, configuration, roster, loans, {});
        clock.advance(fill);
        limiter.refresh(clock.now());
        for (std::size_t i = 0; i < size; ++i) {
            limiter.applyShare(customerOf(i), self, wholeShare, clock.now());
        }
        clock.advance(fill);
        std::size_t admitted = 0;
        const auto admitEach = [&] {
            for (std::size_t i = 0; i < size; ++i) {
                const Deadline deadline = Deadline::after(clock.now(), fill);
                admitted += limiter.admit(customerOf(i), deadline).isAdmitted() ? 1 : 0;
            }
        };
        // When a VM joins, the home VMs of every customer are chosen again.
        roster.add(self, localityOf(0));
        limiter.refresh(clock.now());
        firstTime.add(x, Meter::medianMicroseconds(1, admitEach) / x);
        admitTime.add(x, Meter::medianMicroseconds(rounds, admitEach) / x);
        if (admitted != size * (rounds + 1)) {
            return fail(ErrorCode::Internal, "requests inside the rate were refused");
        }
        refreshTime.add(x, Meter::medianMicroseconds(repetitions, [&] {
                            clock.advance(Milliseconds(1'000));
                            limiter.refresh(clock.now());
                        }));
        memory.add(x, (Meter::heapBytes() - heapBefore) / RequiredSize::megabyte);
    }
    return std::vector<Slope> { memory, admitTime, firstTime, refreshTime };
}

Result<std::vector<Slope>> TargetSlopes::measure()
{
    constexpr std::size_t sizes[] { 11, 22, 44, 88 };
    constexpr int selections = 20'000;
    constexpr int slots = 6;
    const std::string size = "targets of a service in a region";
    Slope time({ "select a target and count the request", "us", size, RequiredSize::targetsPerRegion,
                 RequiredSize::lookUpMicroseconds });
    Slope memory({ "states of targets", "MB", size, RequiredSize::targetsPerRegion, RequiredSize::controlMegabytes });
    for (const std::size_t count : sizes) {
        TimePoint now { Milliseconds(1'000'000) };
        const double heapBefore = Meter::heapBytes();
        TargetSelector selector(SlotPolicy::Optimistic);
        std::vector<SelectableTarget> targets;
        for (std::size_t i = 0; i < count; ++i) {
            targets.push_back({ TargetId("target-" + std::to_string(i)), slots });
        }
        selector.setTargets(targets, now);
        std::vector<VmId> vms;
        for (std::size_t i = 0; i < RequiredSize::nodes / RequiredSize::regions; ++i) {
            vms.emplace_back("vm-" + std::to_string(i));
        }
        selector.setVms(vms.front(), vms);
        RandomSource random(seed);
        int selected = 0;
        const auto x = static_cast<double>(count);
        time.add(x, Meter::meanMicroseconds(selections, [&] {
                     now += Milliseconds(2);
                     const Selection selection = selector.select(now, random, {}, false);
                     if (selection.end == SelectionEnd::Selected) {
                         ++selected;
                         const SelectedAttempt attempt = selector.begin(selection, now);
                         selector.end(attempt, AttemptOutcome::Success, Milliseconds(1), now, random);
                     }
                 }));
        memory.add(x, (Meter::heapBytes() - heapBefore) / RequiredSize::megabyte);
        if (selected != selections) {
            return fail(ErrorCode::Internal, "no target was selected although all are free");
        }
    }
    return std::vector<Slope> { time, memory };
}

Result<std::vector<Slope>> LedgerSlopes::measure()
{
    constexpr std::size_t sizes[] { 1'000, 2'000, 4'000, 8'000 };
    constexpr std::size_t bodyBytes = 200;
    constexpr std::size_t journalBatch = 100;
    const std::string size = "request ids in memory";
    Slope memory({ "request ids with answers of 200 bytes", "MB", size, RequiredSize::rememberedRequests,
                   RequiredSize::controlMegabytes });
    Slope time({ "begin and finish a request with an issued id", "us", size, RequiredSize::rememberedRequests,
                 RequiredSize::lookUpMicroseconds });
    for (const std::size_t count : sizes) {
        const BootClock clock;
        DiscardingTables tables;
        ClaimTable claims(tables);
        ClaimJournal journal(claims, clock);
        const double heapBefore = Meter::heapBytes();
        RequestLedger ledger(claims, journal, clock, { { VmId("vm-0"), Incarnation(1) } });
        const std::string prefix = ledger.issuedPrefix();
        std::size_t started = 0;
        std::size_t number = 0;
        Microseconds used {};
        bool isWritten = true;
        while (number < count) {
            const Microseconds begin = Meter::threadCpuTime();
            for (std::size_t i = 0; i < journalBatch; ++i) {
                const RequestKey key { customerOf(1), RequestId(prefix + "order-" + std::to_string(number++)) };
                const auto beginning = ledger.begin(key, Deadline::after(clock.now(), Milliseconds(1'000)));
                started += std::holds_alternative<RequestLedger::Started>(beginning) ? 1 : 0;
                ledger.finish(key, Verdict::Ran, { 201, {}, std::string(bodyBytes, 'a'), true, TargetId("target-1") });
            }
            used += Meter::threadCpuTime() - begin;
            isWritten = journal.flush(Deadline::after(clock.now(), Milliseconds(2'000))) && isWritten;
        }
        if (started != count || !isWritten) {
            return fail(ErrorCode::Internal, "issued ids were not run or not written");
        }
        const auto x = static_cast<double>(count);
        time.add(x, static_cast<double>(used.count()) / x);
        memory.add(x, (Meter::heapBytes() - heapBefore) / RequiredSize::megabyte);
    }
    return std::vector<Slope> { memory, time };
}

} // namespace Sapphire
