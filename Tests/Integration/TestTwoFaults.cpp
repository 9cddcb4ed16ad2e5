#include <Integration/BookingLoad.h>
#include <Integration/IntegrationLoad.h>
#include <Integration/RateCheck.h>

#include <iostream>

using namespace Sapphire;

namespace {

constexpr std::size_t minIds = 50;
constexpr std::uint64_t seed = 83;
const std::string customer = "bodega-andina";

void pause(Milliseconds time)
{
    std::this_thread::sleep_for(time);
}

std::unique_ptr<Deployment> deploymentForBookings()
{
    auto deployment = startDeployment();
    REQUIRE(outcomeOf(command(*deployment, "cuyo-a-1", "set customer " + customer + " rate 2000 burst 500"))
            == "in-force");
    return deployment;
}

} // namespace

TEST_CASE("Bookings run at most once when a VM is killed and replaced in an outage of the store")
{
    // Guards against ids of the killed VM that another VM or its new process runs again because no row can be read.
    const auto deployment = deploymentForBookings();
    RandomSource random(seed);
    BookingLoad bookings(*deployment, seed, 8, customer);
    bookings.start();
    pause(Milliseconds(1'500));
    expect([&] {
        return deployment->platform().setOutage(OutageMode::Refuse);
    });
    for (int round = 0; round < 2; ++round) {
        pause(Milliseconds(1'000 + random.below(500)));
        const std::string name = deployment->vms()[random.below(deployment->vms().size())].vm.text();
        deployment->vm(name).process->kill();
        pause(Milliseconds(500));
        expect([&] {
            return deployment->startVm(name);
        });
    }
    pause(Milliseconds(2'000));
    expect([&] {
        return deployment->platform().setOutage(OutageMode::None);
    });
    pause(Milliseconds(2'000));
    bookings.stop();
    checkAndPrint("store outage and VMs killed", *deployment, bookings, minIds);
}

TEST_CASE("A key that is withdrawn while a region is cut off stops working within 14 s on both sides")
{
    // Guards against a cut-off region that still accepts a withdrawn key, also right after the partition has healed.
    constexpr Milliseconds bound { 14'000 };
    // A booking whose key was checked before may wait for its claim and a slot until its timeout.
    constexpr Milliseconds requestTimeout { 1'500 };
    const auto deployment = deploymentForBookings();
    const BootClock clock;
    BookingLoad bookings(*deployment, seed + 1, 8, customer);
    bookings.start();
    pause(Milliseconds(2'000));
    expect([&] {
        return deployment->cutRegion("norte");
    });
    const TimePoint withdrawnAt = clock.now();
    const auto answer = command(*deployment, "pampa-a-1", "withdraw key " + customer + "-1", Milliseconds(1'000));
    const bool isRefused = waitFor(
        [&] {
            return std::all_of(deployment->vms().begin(), deployment->vms().end(), [&](const DeployedVm &vm) {
                const auto read = request(*deployment, vm.vm.text(), customer, "GET", "/v1/services/status/lines/7", "",
                                          Milliseconds(500));
                return read && read.value().status >= 400;
            });
        },
        after(bound));
    const TimePoint refusedAt = clock.now();
    CHECK(isRefused);
    expect([&] {
        return deployment->healNetwork();
    });
    pause(Milliseconds(3'000));
    bookings.stop();
    TimePoint last = withdrawnAt;
    std::size_t afterRefusal = 0;
    for (const TimePoint start : startsOf(*deployment, customer)) {
        last = std::max(last, start);
        afterRefusal += start > refusedAt + requestTimeout ? 1 : 0;
    }
    std::cout << "region cut and key withdrawn: command " << outcomeOf(answer) << ", last start of the key "
              << std::chrono::duration_cast<Milliseconds>(last - withdrawnAt).count()
              << " ms after the command, all VMs refused after "
              << std::chrono::duration_cast<Milliseconds>(refusedAt - withdrawnAt).count()
              << " ms, starts later than a request's timeout after that " << afterRefusal << std::endl;
    CHECK(last - withdrawnAt <= bound);
    CHECK(afterRefusal == 0);
    checkAndPrint("region cut and key withdrawn", *deployment, bookings, minIds);
}

TEST_CASE("A rate that is lowered while a VM is frozen holds when the VM resumes")
{
    // Guards against a resumed VM that admits by the old rate, or by tokens of the time in which it was frozen.
    constexpr double lowRate = 20;
    const LoadCustomer customerOverRate { customer, "", 250, 50, 20 };
    const auto deployment = startDeployment();
    const BootClock clock;
    std::vector<RateFrom> rates { { TimePoint {}, customerOverRate.rate } };
    LoadReport report;
    LoadPlan plan = readLoad(*deployment, { customerOverRate }, Milliseconds(14'000), seed);
    plan.usesLookUps = false;
    std::string outcome;
    runUnderLoad(plan, report, [&] {
        pause(Milliseconds(1'500));
        ChildProcess &process = *deployment->vm("cuyo-b-1").process;
        process.stop();
        const TimePoint resumeAt = clock.now() + Milliseconds(6'000);
        rates.push_back({ clock.now(), customerOverRate.rate });
        outcome = outcomeOf(
            command(*deployment, "pampa-a-1", "set customer " + customer + " rate 20 burst 20", Milliseconds(14'000)));
        rates.push_back({ clock.now(), lowRate });
        if (clock.now() < resumeAt) {
            std::this_thread::sleep_for(resumeAt - clock.now());
        }
        process.resume();
    });
    const std::vector<TimePoint> starts = startsOf(*deployment, customer);
    const double above = maxAboveRefill(starts, rates);
    const double limit = customerOverRate.burst + customerOverRate.rate * startDelaySeconds;
    std::cout << "freeze and rate change (seed " << seed << "): command " << outcome << " after "
              << std::chrono::duration_cast<Milliseconds>(rates[2].from - rates[1].from).count() << " ms, started "
              << starts.size() << ", most above refill " << above << " (bound " << limit << ")" << std::endl;
    CAPTURE(seed);
    CHECK(outcome == "in-force");
    CHECK(starts.size() > 20);
    CHECK(above <= limit);
}

TEST_CASE("Bookings run at most once when a target crashes while another one drains")
{
    // Guards against retries of requests that the crash interrupted, and against new work for the draining target.
    constexpr Milliseconds drainTime { 3'000 };
    const auto deployment = deploymentForBookings();
    const BootClock clock;
    BookingLoad bookings(*deployment, seed + 3, 8, customer);
    bookings.start();
    pause(Milliseconds(1'500));
    const std::string drained = "booking-cuyo-a-1";
    const auto answer = command(*deployment, "cuyo-a-1", "drain target " + drained);
    const TimePoint drainedAt = clock.now();
    for (const std::string &crashed : { std::string("booking-cuyo-a-2"), drained }) {
        expect([&] {
            return deployment->targetControl("/control/set?target=" + crashed + "&down=1");
        });
        pause(Milliseconds(2'000));
        expect([&] {
            return deployment->targetControl("/control/set?target=" + crashed + "&down=0");
        });
    }
    pause(Milliseconds(2'000));
    bookings.stop();
    std::size_t late = 0;
    for (const LedgerEntry &entry : readLedger(*deployment)) {
        late += entry.target == drained && entry.startedAt > drainedAt + drainTime ? 1 : 0;
    }
    std::cout << "drain and crash: command " << outcomeOf(answer) << ", starts at the drained target later than "
              << drainTime.count() << " ms after it " << late << std::endl;
    CHECK(late == 0);
    checkAndPrint("drain and target crash", *deployment, bookings, minIds);
}
