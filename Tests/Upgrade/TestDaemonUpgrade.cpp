#include <Integration/RateCheck.h>
#include <LibCore/Hash.h>
#include <Upgrade/ReleasePrograms.h>
#include <Upgrade/UpgradeCallers.h>

#include <iostream>
#include <thread>

using namespace Sapphire;

namespace {

constexpr Milliseconds stopLimit { 14'000 };
constexpr Milliseconds startLimit { 20'000 };
constexpr Milliseconds sideBySideTime { 60'000 };
constexpr double limitedRate = 10;
constexpr double limitedBurst = 5;
const std::string customer = "bodega-andina";
const std::string limitedCustomer = "bar-el-grifo";
const std::string drainedTarget = "status-cuyo-a-1";
const std::string keptId = "booked-before-the-upgrade";
const std::string withdrawnKey = "old-key.0123456789abcdef";

void replace(Deployment &deployment, DeployedVm &vm, const std::string &program)
{
    vm.process->terminate();
    const auto status = vm.process->wait(after(stopLimit));
    REQUIRE(status);
    CHECK(*status == ExitStatus { 0, 0 });
    vm.program = program;
    expect([&] {
        return deployment.startVm(vm.vm.text());
    });
    expect([&] {
        return deployment.waitUntilServing(vm.vm.text(), after(startLimit));
    });
    std::cout << vm.vm.text() << " runs " << program << std::endl;
}

int statusWithKey(const DeployedVm &vm, const std::string &key)
{
    const Outcome<HttpAnswer> answer = capture([&] {
        return HttpCall { "GET",
                          "http://" + vm.callerAddress + "/v1/services/status/lines",
                          { { "Authorization", "Bearer " + key } },
                          "" }
            .run();
    });
    return answer ? answer.value().status : 0;
}

/// Checks what must hold at every moment of the upgrade, whichever release a VM runs.
void checkState(Deployment &deployment)
{
    for (const DeployedVm &vm : deployment.vms()) {
        const std::string &name = vm.vm.text();
        CAPTURE(name);
        CHECK(statusWithKey(vm, withdrawnKey) == 401);
        const auto kept = request(deployment, name, customer, "POST", "/v1/services/booking/bookings", keptId);
        REQUIRE(kept);
        CHECK(kept.value().status == 200);
        CHECK(verdictOf(kept) == "ran");
    }
}

void checkChange(Deployment &deployment, const std::string &vm, const std::string &statement)
{
    CAPTURE(vm);
    CAPTURE(statement);
    CHECK(outcomeOf(command(deployment, vm, statement)) == "in-force");
}

void checkLogs(Deployment &deployment)
{
    // Events of a message or a stored row that a VM could not read.
    for (const char *event : { "fleet-message-rejected", "configuration-row-unreadable", "configuration-entry-skipped",
                               "configuration-snapshot-unusable", "allotment-unreadable", "platform-answer-malformed",
                               "request-failed-internally", "duty-failed" }) {
        for (const DeployedVm &vm : deployment.vms()) {
            CAPTURE(event);
            CAPTURE(vm.vm.text());
            CHECK(vm.process->output().find("\"" + std::string(event) + "\"") == std::string::npos);
        }
    }
}

void checkRequests(const std::vector<UpgradeRequest> &requests, const std::string &allowedReason)
{
    std::map<std::string, int> results;
    for (const UpgradeRequest &request : requests) {
        const std::string result = request.isServed() ? "served" : request.reason + " " + request.verdict;
        ++results[result];
        CAPTURE(request.vm);
        CAPTURE(request.id);
        CAPTURE(request.reason);
        CHECK((request.isServed() || request.reason == allowedReason));
    }
    for (const auto &[result, count] : results) {
        std::cout << "  " << count << " " << result << std::endl;
    }
}

void checkBookings(Deployment &deployment, const std::vector<UpgradeRequest> &requests)
{
    const auto ledger = ledgerById(deployment);
    for (const auto &entry : ledger) {
        CAPTURE(entry.first);
        CHECK(entry.second.size() == 1);
    }
    int lost = 0;
    for (const UpgradeRequest &request : requests) {
        lost += request.isServed() && !request.id.empty() && ledger.find(request.id) == ledger.end() ? 1 : 0;
    }
    CHECK(lost == 0);
    CHECK(ledger.size() > 100);
}

} // namespace

TEST_CASE("VMs of sapphired are replaced one by one by another release while callers go on")
{
    // Guards against a release that misreads what the other one has stored or sent: configuration, keys, drains,
    // allotments, kept answers, and messages between VMs.
    DeploymentOptions options;
    options.program = oldProgram("sapphired");
    const auto deployment = startDeployment(options);
    checkChange(*deployment, "cuyo-a-1", "set customer " + customer + " rate 2000 burst 500");
    checkChange(*deployment, "cuyo-a-1", "set customer " + limitedCustomer + " rate 10 burst 5");
    checkChange(*deployment, "pampa-a-1",
                "grant key old-key customer " + customer + " hash " + sha256Hex("0123456789abcdef"));
    CHECK(statusWithKey(deployment->vm("cuyo-a-1"), withdrawnKey) == 200);
    checkChange(*deployment, "norte-a-1", "withdraw key old-key");
    checkChange(*deployment, "cuyo-a-1", "drain target " + drainedTarget);
    checkState(*deployment);
    const BootClock clock;
    const TimePoint limitedFrom = clock.now();
    UpgradeCallers callers(*deployment, customer, 6, Milliseconds(20));
    UpgradeCallers limitedCallers(*deployment, limitedCustomer, 2, Milliseconds(20));
    std::vector<DeployedVm> &vms = deployment->vms();
    const TimePoint drainedAt = clock.now();
    for (std::size_t i = 0; i < vms.size(); ++i) {
        replace(*deployment, vms[i], newProgram("sapphired"));
        checkState(*deployment);
        if (i == 1) {
            const std::string oldVm = vms.back().vm.text();
            const std::string newVm = vms.front().vm.text();
            checkChange(*deployment, oldVm, "set customer " + customer + " rate 2001 burst 500");
            checkChange(*deployment, newVm, "set customer " + customer + " rate 2000 burst 500");
            std::this_thread::sleep_for(sideBySideTime);
            checkState(*deployment);
        }
    }
    replace(*deployment, vms[1], oldProgram("sapphired"));
    checkChange(*deployment, vms[1].vm.text(), "set customer " + customer + " rate 2002 burst 500");
    checkState(*deployment);
    std::this_thread::sleep_for(Milliseconds(5'000));
    std::cout << customer << ":" << std::endl;
    const std::vector<UpgradeRequest> requests = callers.stop();
    checkRequests(requests, "");
    std::cout << limitedCustomer << ":" << std::endl;
    const std::vector<UpgradeRequest> limited = limitedCallers.stop();
    checkRequests(limited, "rate-exceeded");
    checkBookings(*deployment, requests);
    checkBookings(*deployment, limited);
    for (const LedgerEntry &entry : readLedger(*deployment)) {
        CHECK_FALSE((entry.target == drainedTarget && entry.startedAt > drainedAt + Milliseconds(5'000)));
    }
    const double window = startDelaySeconds * limitedRate;
    const double above = maxAboveRefill(startsOf(*deployment, limitedCustomer), { { limitedFrom, limitedRate } });
    std::cout << "most starts of " << limitedCustomer << " above its refill: " << above << std::endl;
    CHECK(above <= limitedBurst + window);
    checkLogs(*deployment);
}
