#include <Soak/SoakChecks.h>
#include <Soak/SoakRun.h>
#include <Soak/SoakTable.h>

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

DEFINE_uint64(seed, 1, "seed of the faults and of the callers");
DEFINE_int32(seconds, 30, "seconds during which faults are injected");

using namespace Sapphire;

TEST_CASE("The guarantees hold under random overlapping faults")
{
    // Guards against failures that only combinations of faults cause: several kinds at once, in series and in any
    // order.
    SoakRun soak(FLAGS_seed, std::chrono::seconds(FLAGS_seconds));
    const SoakRecord record = soak.run();
    std::cout << "seed " << FLAGS_seed << ", " << FLAGS_seconds << " s\n" << soakTable(record);
    const std::vector<std::string> violations = SoakChecks(record).run();
    for (const std::string &violation : violations) {
        std::cout << "broken: " << violation << "\n";
    }
    if (!violations.empty()) {
        for (const SoakFault &fault : record.faults) {
            std::cout << "  " << fault.from.count() << " to " << fault.to.count() << " ms: " << typeOf(fault.kind).name
                      << " (" << fault.victim << ")\n";
        }
    }
    std::cout << std::flush;
    CHECK(violations.empty());
}
