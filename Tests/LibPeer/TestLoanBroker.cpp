#include <LibPeer/QuotaSimulation.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr Milliseconds window { 5'000 };
constexpr Milliseconds runTime { 30'000 };
constexpr int seeds = 8;

CustomerRules customerWith(double rate)
{
    CustomerRules customer;
    customer.id = CustomerId("bar-el-grifo");
    customer.ratePerSecond = rate;
    customer.burst = rate;
    return customer;
}

QuotaSimulation::Setup setupWith(double rate, std::uint64_t seed)
{
    QuotaSimulation::Setup setup;
    setup.customer = customerWith(rate);
    setup.seed = seed;
    return setup;
}

/// Returns how many requests all VMs together may admit in a window.
double bound(const QuotaSimulation::Setup &setup)
{
    const double seconds = std::chrono::duration<double>(setup.quota.window).count();
    const double nominal = setup.customer.ratePerSecond * seconds + setup.customer.burst;
    return nominal * (1 + setup.quota.overage) + setup.quota.slack;
}

int anyRegion(RandomSource &random)
{
    return static_cast<int>(random.below(3));
}

int mostlyFirstRegion(RandomSource &random)
{
    return random.unit() < 0.7 ? 0 : 1 + static_cast<int>(random.below(2));
}

} // namespace

// Guards against refusing a customer that stays below its rate because other VMs hold its quota.
TEST_CASE("A customer below its rate is hardly ever refused, whatever its rate and wherever its requests arrive")
{
    for (int seed = 1; seed <= seeds; ++seed) {
        for (const double rate : { 6.0, 12.0, 60.0, 250.0 }) {
            for (const auto &region : { anyRegion, mostlyFirstRegion }) {
                QuotaSimulation simulation(setupWith(rate, static_cast<std::uint64_t>(seed)));
                simulation.run(runTime, rate * 0.62, region);
                const double all = static_cast<double>(simulation.admitted() + simulation.refused());
                CAPTURE(seed);
                CAPTURE(rate);
                CHECK(static_cast<double>(simulation.refused()) <= 0.02 * all);
            }
        }
    }
}

// Guards against quota that stays unused at some VMs while others refuse requests.
TEST_CASE("A customer that exceeds its rate gets nearly all of its rate")
{
    for (int seed = 1; seed <= seeds; ++seed) {
        for (const double rate : { 10.0, 46.0, 250.0 }) {
            QuotaSimulation simulation(setupWith(rate, static_cast<std::uint64_t>(seed)));
            simulation.run(runTime, rate * 2, anyRegion);
            const double owed = rate * std::chrono::duration<double>(runTime).count();
            CAPTURE(seed);
            CAPTURE(rate);
            CHECK(static_cast<double>(simulation.admitted()) >= 0.9 * owed);
        }
    }
}

// Guards against a customer that gets more than its quota by sending to all VMs at once.
TEST_CASE("No window admits more than the quota allows, however far a customer exceeds its rate")
{
    for (int seed = 1; seed <= seeds; ++seed) {
        for (const double rate : { 6.0, 46.0, 250.0 }) {
            const QuotaSimulation::Setup setup = setupWith(rate, static_cast<std::uint64_t>(seed));
            QuotaSimulation simulation(setup);
            simulation.run(runTime, rate * 6, anyRegion);
            CAPTURE(seed);
            CAPTURE(rate);
            CHECK(static_cast<double>(simulation.mostInWindow(window)) <= bound(setup));
        }
    }
}

// Guards against tokens that are used twice: by an isolated VM and by the VMs that divide its share.
TEST_CASE("No window admits more than the quota allows while VMs are isolated, reconnect and restart")
{
    for (int seed = 1; seed <= seeds; ++seed) {
        const QuotaSimulation::Setup setup = setupWith(46, static_cast<std::uint64_t>(seed));
        QuotaSimulation simulation(setup);
        for (std::size_t vm = 0; vm < 6; ++vm) {
            simulation.isolate(vm);
            simulation.run(Milliseconds(2'000), 46 * 6, anyRegion);
            simulation.restart(vm + 7);
            simulation.run(Milliseconds(2'000), 46 * 6, mostlyFirstRegion);
            simulation.reconnect(vm);
        }
        CAPTURE(seed);
        CHECK(static_cast<double>(simulation.mostInWindow(window)) <= bound(setup));
    }
}
