#include <SapphireSlopes/LookUpSlopes.h>

#include <Fakes/FakeRoster.h>
#include <LibCore/ManualClock.h>
#include <SapphireSlopes/LookUpBench.h>
#include <SapphireSlopes/Meter.h>
#include <SapphireSlopes/RequiredSize.h>

namespace Sapphire {

namespace {

constexpr std::size_t sizes[] { 10'000, 40'000, 80'000, 160'000 };
constexpr int changes = 5;
constexpr int lookUps = 5'000;
constexpr int vms = 4;
constexpr double microsecondsPerMillisecond = 1'000;

} // namespace

Result<std::vector<Slope>> LookUpSlopes::measure()
{
    const VmIncarnation process { VmId("vm-0"), Incarnation(1) };
    const Locality locality { RegionId("region-0"), AvailabilityZoneId("region-0-0") };
    FakeRoster roster;
    for (int i = 0; i < vms; ++i) {
        roster.add({ VmId("vm-" + std::to_string(i)), Incarnation(1) }, locality);
    }
    const ManualClock clock;
    Slope first({ "first look-up after a change of the configuration", "ms", "blocks", RequiredSize::clientBlocks });
    Slope later({ "later look-up in a roster of 4 VMs", "us", "blocks", RequiredSize::clientBlocks,
                  RequiredSize::lookUpMicroseconds });
    for (const std::size_t size : sizes) {
        LookUpBench bench(process, locality, roster, clock);
        bench.setBlocks(size);
        const auto x = static_cast<double>(size);
        bool hasAnswers = true;
        first.add(x,
                  Meter::medianMicroseconds(changes, [&] {
                      bench.change();
                      hasAnswers = bench.lookUp() && hasAnswers;
                  }) / microsecondsPerMillisecond);
        later.add(x, Meter::meanMicroseconds(lookUps, [&] {
                      hasAnswers = bench.lookUp() && hasAnswers;
                  }));
        if (!hasAnswers) {
            return fail(ErrorCode::Internal, "a look-up named no VM");
        }
    }
    return std::vector<Slope> { first, later };
}

} // namespace Sapphire
