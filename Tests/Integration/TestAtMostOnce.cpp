#include <Integration/BookingLoad.h>

#include <iostream>

using namespace Sapphire;

namespace {

constexpr std::size_t minIds = 100;
constexpr std::uint64_t seed = 41;
const std::string customer = "bodega-andina";

std::unique_ptr<Deployment> deploymentForBookings()
{
    auto deployment = startDeployment();
    const auto answer = command(*deployment, "cuyo-a-1", "set customer " + customer + " rate 2000 burst 500");
    REQUIRE(outcomeOf(answer) == "in-force");
    return deployment;
}

} // namespace

TEST_CASE("Bookings run at most once while VMs are killed and replaced")
{
    // Guards against an id that a new process runs again, and against "not run" for a request that reached a target.
    const auto deployment = deploymentForBookings();
    RandomSource random(seed);
    BookingLoad bookings(*deployment, seed, 8, customer);
    bookings.start();
    for (int round = 0; round < 4; ++round) {
        std::this_thread::sleep_for(Milliseconds(1'000 + random.below(500)));
        const std::string name = deployment->vms()[random.below(deployment->vms().size())].vm.text();
        deployment->vm(name).process->kill();
        std::this_thread::sleep_for(Milliseconds(random.below(500)));
        expect([&] {
            return deployment->startVm(name);
        });
    }
    bookings.stop();
    checkAndPrint("VMs killed", *deployment, bookings, minIds);
}

TEST_CASE("Bookings run at most once while VMs are frozen past every deadline")
{
    // Guards against a paused VM that dispatches a request after its caller was told that it had not run.
    const auto deployment = deploymentForBookings();
    RandomSource random(seed + 1);
    BookingLoad bookings(*deployment, seed + 1, 8, customer);
    bookings.start();
    for (int round = 0; round < 3; ++round) {
        std::this_thread::sleep_for(Milliseconds(500));
        ChildProcess &process = *deployment->vms()[random.below(deployment->vms().size())].process;
        process.stop();
        std::this_thread::sleep_for(Milliseconds(3'000));
        process.resume();
    }
    bookings.stop();
    checkAndPrint("VMs frozen", *deployment, bookings, minIds);
}

TEST_CASE("Bookings run at most once while the store loses answers and is down")
{
    // Guards against taking a lost answer of the store for a failed claim, and against an outage that stops bookings.
    const auto deployment = deploymentForBookings();
    BookingLoad bookings(*deployment, seed + 2, 8, customer);
    bookings.start();
    for (int i = 0; i < 20; ++i) {
        expect([&] {
            return deployment->platform().loseAnswers(3);
        });
        std::this_thread::sleep_for(Milliseconds(100));
    }
    const std::size_t before = ledgerById(*deployment).size();
    expect([&] {
        return deployment->platform().setOutage(OutageMode::Refuse);
    });
    std::this_thread::sleep_for(Milliseconds(8'000));
    const std::size_t during = ledgerById(*deployment).size() - before;
    expect([&] {
        return deployment->platform().setOutage(OutageMode::None);
    });
    std::this_thread::sleep_for(Milliseconds(1'000));
    bookings.stop();
    std::cout << "bookings run in 8 s of outage: " << during << std::endl;
    CHECK(during > 100);
    checkAndPrint("store", *deployment, bookings, minIds);
}

TEST_CASE("One id sent to all VMs at once runs once")
{
    // Guards against two VMs that both find an id unclaimed.
    const auto deployment = deploymentForBookings();
    const auto lookUp = request(*deployment, "cuyo-a-1", customer, "GET", "/v1/lookup");
    REQUIRE(lookUp);
    const std::string prefix = parseObject(lookUp.value().body)->getValue<std::string>("requestIdPrefix");
    for (int round = 0; round < 30; ++round) {
        const std::string id = (round % 2 == 0 ? prefix : "free-") + std::to_string(round);
        std::vector<std::thread> callers;
        std::atomic<int> ran { 0 };
        for (const DeployedVm &vm : deployment->vms()) {
            callers.emplace_back([&, name = vm.vm.text()] {
                const auto answer = request(*deployment, name, customer, "POST", "/v1/services/booking/bookings", id);
                ran += verdictOf(answer) == "ran" ? 1 : 0;
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        CHECK(ran >= 1);
    }
    const auto ledger = ledgerById(*deployment);
    CHECK(ledger.size() == 30);
    for (const auto &entry : ledger) {
        CAPTURE(entry.first);
        CHECK(entry.second.size() == 1);
    }
}

TEST_CASE("The state of a booking is known after the VM that ran it is gone")
{
    // Guards against an order whose state is lost with its VM: the caller asks another VM.
    const auto deployment = deploymentForBookings();
    const auto lookUp = request(*deployment, "cuyo-a-1", customer, "GET", "/v1/lookup");
    REQUIRE(lookUp);
    const auto answer = parseObject(lookUp.value().body);
    const std::string id = answer->getValue<std::string>("requestIdPrefix") + "order-1";
    const std::string issuer = answer->getArray("vms")->getObject(0)->getValue<std::string>("vm");
    REQUIRE(verdictOf(request(*deployment, issuer, customer, "POST", "/v1/services/booking/bookings", id)) == "ran");
    std::this_thread::sleep_for(Milliseconds(300));
    deployment->vm(issuer).process->kill();
    const auto state = request(*deployment, "pampa-a-1", customer, "GET", "/v1/requests/" + id);
    REQUIRE(state);
    CHECK(parseObject(state.value().body)->getValue<std::string>("state") == "ran");
    const auto never = request(*deployment, "pampa-a-1", customer, "GET", "/v1/requests/never-sent");
    REQUIRE(never);
    CHECK(parseObject(never.value().body)->getValue<std::string>("state") == "not-run");
}
