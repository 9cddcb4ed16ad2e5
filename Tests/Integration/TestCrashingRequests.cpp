#include <Integration/IntegrationLoad.h>
#include <Integration/TargetLedger.h>
#include <LibCore/RandomSource.h>

#include <iostream>
#include <sstream>

using namespace Sapphire;

namespace {

constexpr std::uint64_t seed = 67;
constexpr int resends = 60;
const std::string customer = "bodega-andina";
const std::string crashingPath = "/v1/services/booking/poison";

struct CrashRun
{
    std::size_t targetsLost { 0 };
    std::map<std::string, int> reasons {};
    LoadReport::Totals others {};
};

/// Sends the crashing request repeatedly while another customer reads another service.
CrashRun sendCrashingRequest(const std::string &method, bool spraysVms)
{
    const auto deployment = startDeployment();
    REQUIRE(outcomeOf(command(*deployment, "cuyo-a-1", "set customer " + customer + " rate 2000 burst 500"))
            == "in-force");
    expect([&] {
        return deployment->targetControl("/control/set?target=*&service=booking&crashText=poison&restartAfterMs=500");
    });
    RandomSource random(seed);
    CrashRun result;
    LoadReport report;
    const LoadCustomer other { "bar-el-grifo", "", 15, 20, 10 };
    runUnderLoad(readLoad(*deployment, { other }, Milliseconds(6'000), seed), report, [&] {
        for (int i = 0; i < resends; ++i) {
            const std::size_t vm = spraysVms ? random.below(deployment->vms().size()) : 0;
            const std::string id = method == "POST" ? "poison-" + std::to_string(i) : "";
            const auto answer = request(*deployment, deployment->vms()[vm].vm.text(), customer, method, crashingPath,
                                        id, Milliseconds(1'000));
            ++result.reasons[reasonOf(answer)];
            std::this_thread::sleep_for(Milliseconds(50));
        }
    });
    for (const LedgerEntry &entry : readLedger(*deployment)) {
        result.targetsLost += entry.path.find("poison") != std::string::npos ? 1 : 0;
    }
    for (const DeployedVm &vm : deployment->vms()) {
        std::istringstream log(vm.process->errorOutput() + vm.process->output());
        for (std::string line; std::getline(log, line);) {
            if (line.find("target-died") != std::string::npos) {
                std::cout << "  " << vm.vm.text() << ": " << line << std::endl;
            }
        }
    }
    result.others = report.totals();
    std::cout << method << (spraysVms ? " to all VMs" : " to one VM") << " (seed " << seed << "): targets lost "
              << result.targetsLost << ", others answered " << result.others.answered << " of " << result.others.sent
              << ", reasons:";
    for (const auto &[reason, count] : result.reasons) {
        std::cout << " " << reason << "=" << count;
    }
    std::cout << std::endl;
    return result;
}

void checkOthers(const CrashRun &run)
{
    CHECK(run.others.sent > 50);
    CHECK(run.others.insideRateUnserved * 20 <= run.others.insideRate);
}

void checkCrashingRequest(const char *method, bool isToAllVms, int mostTargetsLost)
{
    const CrashRun run = sendCrashingRequest(method, isToAllVms);
    CHECK(run.targetsLost >= 1);
    CHECK(run.targetsLost <= mostTargetsLost);
    checkOthers(run);
}

} // namespace

TEST_CASE("A POST that crashes its target takes down one target, however often it is sent to one VM")
{
    // Guards against a crashing order that is sent to another target under a new id.
    checkCrashingRequest("POST", false, 1);
}

TEST_CASE("A GET that crashes its target takes down at most two targets, however often it is sent to one VM")
{
    // Guards against retries of an idempotent request that take down one target after another.
    checkCrashingRequest("GET", false, 2);
}

TEST_CASE("A POST that crashes its target takes down one target, however often it is sent to all VMs")
{
    // Guards against VMs that don't know what crashed a target at another VM.
    checkCrashingRequest("POST", true, 1);
}

TEST_CASE("A GET that crashes its target takes down at most two targets, however often it is sent to all VMs")
{
    // Guards against VMs that count only the crashes that they observe themselves.
    checkCrashingRequest("GET", true, 2);
}
