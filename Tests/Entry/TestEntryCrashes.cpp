#include <Entry/EntryCallers.h>

using namespace Sapphire;

namespace {

constexpr Milliseconds resendInterval { 100 };
constexpr int resends = 80;
// A VM is replaced before each of these repetitions.
constexpr int replacementInterval = 16;
// After the third crash, the VMs have this long to agree; then the request may reach this many more targets.
constexpr Milliseconds contactTime { 3'000 };
constexpr std::size_t mostLateCrashes = 3;

/// Sends the crashing request, with the same body each time, to one VM after the other while VMs are replaced.
void resend(EntryDeployment &deployment, const std::string &method, const std::string &path)
{
    for (int i = 0; i < resends; ++i) {
        EntryVm &vm = deployment.vms()[static_cast<std::size_t>(i) % deployment.vms().size()];
        EntryCallers::send(deployment.callerAddress(vm), method, path, "crash", "key-1", Milliseconds(1'000));
        if (i % replacementInterval == replacementInterval - 1) {
            vm.process->kill();
            deployment.start(vm);
        }
        std::this_thread::sleep_for(resendInterval);
    }
}

std::vector<TimePoint> crashTimes(const EntryDeployment &deployment, const std::string &path)
{
    std::vector<TimePoint> times;
    for (const WireTarget *const target : deployment.targetList()) {
        for (const WireTargetRun &run : target->runs()) {
            if (run.path == path) {
                times.push_back(run.at);
            }
        }
    }
    std::sort(times.begin(), times.end());
    return times;
}

} // namespace

TEST_CASE("A request that crashes its targets is refused by all VMs, also by those that start later")
{
    // Guards against a request that crashes target after target because VMs don't see, or never hear, that it does.
    for (const std::string method : { "GET", "POST" }) {
        CAPTURE(method);
        EntryDeployment deployment(3, 4);
        const std::string path = method == "GET" ? "/read/crash" : "/book/crash";
        for (WireTarget *const target : deployment.targetList()) {
            WireTargetBehaviour behaviour;
            behaviour.crashPath = path;
            target->setBehaviour(behaviour);
        }
        EntryCallers callers(deployment, {});
        std::this_thread::sleep_for(Milliseconds(1'000));
        resend(deployment, method, path);
        callers.stop();
        const std::vector<TimePoint> crashes = crashTimes(deployment, path);
        CAPTURE(crashes.size());
        REQUIRE(!crashes.empty());
        const std::size_t third = std::min<std::size_t>(crashes.size(), 3) - 1;
        const auto late = std::count_if(crashes.begin(), crashes.end(), [&](TimePoint at) {
            return at > crashes[third] + contactTime;
        });
        CHECK(static_cast<std::size_t>(late) <= mostLateCrashes);
    }
}
