#include <Integration/IntegrationFixture.h>

#include <iostream>

using namespace Sapphire;

TEST_CASE("A change is in force on every VM within 14 s")
{
    // Guards against changes that are reported as in force before each VM applies them, or that spread too slowly.
    const auto deployment = startDeployment({ true });
    const BootClock clock;
    for (int round = 0; round < 3; ++round) {
        const TimePoint start = clock.now();
        const auto answer = command(*deployment, "norte-a-1",
                                    "set customer bodega-andina rate " + std::to_string(60 + round) + " burst 20");
        CHECK(outcomeOf(answer) == "in-force");
        const auto elapsed = std::chrono::duration_cast<Milliseconds>(clock.now() - start);
        std::cout << "in force after " << elapsed.count() << " ms" << std::endl;
        CHECK(elapsed < Milliseconds(14'000));
        for (const DeployedVm &vm : deployment->vms()) {
            const auto seen = command(*deployment, vm.vm.text(), "show customers bodega-andina");
            CHECK(seen->getArray("rows")->getArray(0)->getElement<std::string>(1) == std::to_string(60 + round));
        }
    }
}
