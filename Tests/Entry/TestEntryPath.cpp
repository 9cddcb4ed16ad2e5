#include <Entry/EntryCallers.h>

#include <fstream>

using namespace Sapphire;

namespace {

CallerRecord read(EntryDeployment &deployment, const EntryVm &vm, const std::string &key = "key-1")
{
    return EntryCallers::send(deployment.callerAddress(vm), "GET", "/read/1", "r", key, Milliseconds(1'000));
}

int statusOf(const std::string &address, const std::string &path)
{
    const Outcome<HttpAnswer> answer = capture([&] {
        return HttpCall { "GET", "http://" + address + path, {}, "", Milliseconds(1'000) }.run();
    });
    return answer ? answer.value().status : 0;
}

} // namespace

TEST_CASE("A request is served from end to end, and counted in metrics")
{
    // Guards against parts that work alone but not together.
    EntryDeployment deployment(2, 2);
    const EntryVm &vm = deployment.vms().front();
    const CallerRecord record = read(deployment, vm);
    CHECK(record.status == 200);
    CHECK(record.body.starts_with("ran at i-cuyo-"));
    CHECK(read(deployment, vm, "wrong").status == 401);
    const std::vector<WireTargetRun> runs = deployment.targets().runs();
    REQUIRE(runs.size() == 1);
    CHECK(runs.front().customer == "grifo");
    const std::vector<std::string> named = deployment.lookUp(vm);
    CHECK(named.size() == 2);
    const Outcome<HttpAnswer> metrics = capture([&] {
        return HttpCall { "GET", "http://" + vm.ip + ":9464/metrics", {}, "", Milliseconds(1'000) }.run();
    });
    REQUIRE(metrics);
    CHECK(metrics.value().body.find("sapphire_requests_total{outcome=\"answered\"} 1") != std::string::npos);
    CHECK(statusOf(vm.ip + ":9464", "/nothing") == 404);
    CHECK(waitFor(
        [&] {
            return vm.process->output().find("\"name\":\"request-answered\"") != std::string::npos;
        },
        after(Milliseconds(1'000))));
    CHECK(vm.process->output().find("key-1") == std::string::npos);
}

TEST_CASE("Changed rules are in force at all VMs within seconds and are never reverted")
{
    // Guards against a VM that applies old rules, and against a withdrawn key that still works.
    EntryDeployment deployment(2, 2);
    constexpr Milliseconds inForceLimit { 2'500 };
    for (int version = 2; version <= 4; ++version) {
        EntryRules rules;
        rules.version = version;
        rules.keys = { "key-" + std::to_string(version) };
        deployment.applyRules(rules);
        const TimePoint acknowledgedAt = BootClock().now();
        for (const EntryVm &vm : deployment.vms()) {
            CHECK(waitFor(
                [&] {
                    return read(deployment, vm, rules.keys.front()).status == 200;
                },
                Deadline::after(acknowledgedAt, inForceLimit)));
            for (int i = 0; i < 5; ++i) {
                CHECK(read(deployment, vm, "key-" + std::to_string(version - 1)).status == 401);
            }
        }
    }
}

TEST_CASE("A VM that is cut off from the store doesn't refuse a new key as wrong")
{
    // Guards against callers with a new key who are told not to come back by a VM that can't know it.
    EntryDeployment deployment(1, 2, EntryDeployment::Links::Proxied);
    const EntryVm &connected = deployment.vms().front();
    const EntryVm &cutOff = deployment.vms().back();
    const std::string link = "store:" + cutOff.name;
    constexpr Milliseconds inForceLimit { 2'500 };
    REQUIRE(capture([&] {
        return deployment.proxy()->cut(link);
    }));
    std::this_thread::sleep_for(inForceLimit + Milliseconds(1'500));
    EntryRules rules;
    rules.version = 2;
    rules.keys = { "key-1", "key-2" };
    deployment.applyRules(rules);
    CHECK(waitFor(
        [&] {
            return read(deployment, connected, "key-2").status == 200;
        },
        after(inForceLimit)));
    for (int i = 0; i < 5; ++i) {
        CHECK(read(deployment, cutOff, "key-2").status == 503);
        CHECK(read(deployment, cutOff, "key-1").status == 200);
    }
    REQUIRE(capture([&] {
        return deployment.proxy()->clear(link);
    }));
    CHECK(waitFor(
        [&] {
            return read(deployment, cutOff, "key-2").status == 200;
        },
        after(Milliseconds(8'000))));
    CHECK(read(deployment, cutOff, "wrong").status == 401);
}

TEST_CASE("While the newest configuration can't be read, a key that the last one lacks is not refused as wrong")
{
    // Guards against rules that count as current because the VM has seen, but not understood, what replaces them.
    EntryDeployment deployment(1, 1);
    const EntryVm &vm = deployment.vms().front();
    deployment.store().set("op", "config", "{ broken");
    CHECK(waitFor(
        [&] {
            return read(deployment, vm, "new").status == 503;
        },
        after(Milliseconds(2'500))));
    std::this_thread::sleep_for(Milliseconds(2'500));
    CHECK(read(deployment, vm, "new").status == 503);
    CHECK(read(deployment, vm, "key-1").status == 200);
    EntryRules rules;
    rules.version = 2;
    deployment.applyRules(rules);
    CHECK(waitFor(
        [&] {
            return read(deployment, vm, "new").status == 401;
        },
        after(Milliseconds(2'500))));
}

TEST_CASE("Rules are in force within seconds although the VM that reads them for its region is frozen")
{
    // Guards against VMs that wait for a reader that no longer sends anything.
    EntryDeployment deployment(3, 1);
    constexpr Milliseconds inForceLimit { 2'500 };
    int version = 1;
    for (std::size_t victim = 0; victim < 3; ++victim) {
        EntryVm &frozen = deployment.vms()[victim];
        frozen.process->stop();
        EntryRules rules;
        rules.version = ++version;
        rules.keys = { "key-" + std::to_string(version) };
        deployment.applyRules(rules);
        const TimePoint acknowledgedAt = BootClock().now();
        for (EntryVm &vm : deployment.vms()) {
            if (&vm != &frozen) {
                CHECK(waitFor(
                    [&] {
                        return read(deployment, vm, rules.keys.front()).status == 200;
                    },
                    Deadline::after(acknowledgedAt, inForceLimit)));
            }
        }
        frozen.process->resume();
        CHECK(waitFor(
            [&] {
                return read(deployment, frozen, rules.keys.front()).status == 200;
            },
            after(Milliseconds(5'000))));
    }
}

TEST_CASE("A leaving target gets no new work after the drain time")
{
    // Guards against requests that are lost when a target exits.
    EntryDeployment deployment(2, 2);
    constexpr Milliseconds drainTime { 2'500 };
    EntryCallers callers(deployment, {});
    std::this_thread::sleep_for(Milliseconds(1'000));
    const WireTarget &leaving = *deployment.targetList().front();
    deployment.announce(leaving, "draining");
    const TimePoint drainedAt = BootClock().now();
    const WireTarget &gone = *deployment.targetList().back();
    deployment.withdraw(gone);
    std::this_thread::sleep_for(drainTime + Milliseconds(1'500));
    int served = 0;
    for (const CallerRecord &record : callers.stop()) {
        served += record.status == 200 ? 1 : 0;
    }
    CHECK(served > 100);
    int late = 0;
    for (const WireTarget *target : { &leaving, &gone }) {
        for (const WireTargetRun &run : target->runs()) {
            late += run.at > drainedAt + drainTime ? 1 : 0;
        }
    }
    CHECK(late == 0);
    CHECK(!leaving.runs().empty());
}

TEST_CASE("Look-ups name no VM that was killed")
{
    // Guards against callers that are sent to a dead VM.
    EntryDeployment deployment(3, 1);
    EntryVm &killed = deployment.vms().front();
    const EntryVm &other = deployment.vms()[1];
    REQUIRE(deployment.lookUp(other).size() == 3);
    killed.process->kill();
    CHECK(waitFor(
        [&] {
            return deployment.lookUp(other).size() == 2;
        },
        after(Milliseconds(4'000))));
    deployment.start(killed);
    CHECK(waitFor(
        [&] {
            return deployment.lookUp(other).size() == 3;
        },
        after(Milliseconds(5'000))));
}

TEST_CASE("A VM keeps serving without the store, and synchronizes with it when it is back")
{
    // Guards against a store outage that stops requests, and against dropping the targets during it.
    EntryDeployment deployment(2, 2);
    EntryCallers callers(deployment, {});
    StoreFaults silent;
    silent.isSilent = true;
    StoreFaults busy;
    busy.status = 503;
    for (const StoreFaults &faults : { silent, busy }) {
        deployment.store().setFaults(faults);
        std::this_thread::sleep_for(Milliseconds(2'500));
    }
    // The targets' entries have expired during the outage, and are written again shortly after it.
    for (const WireTarget *target : deployment.targetList()) {
        deployment.withdraw(*target);
    }
    deployment.store().setFaults({});
    std::this_thread::sleep_for(Milliseconds(1'200));
    for (const WireTarget *target : deployment.targetList()) {
        deployment.announce(*target, "ready");
    }
    EntryRules rules;
    rules.version = 2;
    rules.keys = { "key-1", "key-2" };
    deployment.applyRules(rules);
    const TimePoint backAt = BootClock().now();
    for (const EntryVm &vm : deployment.vms()) {
        CHECK(waitFor(
            [&] {
                return read(deployment, vm, "key-2").status == 200;
            },
            Deadline::after(backAt, Milliseconds(5'500))));
    }
    const std::vector<CallerRecord> records = callers.stop();
    int failed = 0;
    for (const CallerRecord &record : records) {
        failed += record.status == 200 ? 0 : 1;
    }
    CHECK(records.size() > 500);
    CHECK(failed <= static_cast<int>(records.size()) / 100);
}

TEST_CASE("A planned stop interrupts no request and exits with code 0")
{
    // Guards against requests that are lost when a VM is stopped by SIGTERM.
    EntryDeployment deployment(2, 2);
    EntryCallers callers(deployment, {});
    std::this_thread::sleep_for(Milliseconds(1'000));
    const TimePoint start = BootClock().now();
    const auto sinceStart = [start](TimePoint time) {
        return std::chrono::duration_cast<Milliseconds>(time - start).count();
    };
    for (EntryVm &vm : deployment.vms()) {
        MESSAGE(vm.name << " at " << vm.ip << " is stopped " << sinceStart(BootClock().now()) << " ms after the first");
        vm.process->terminate();
        const std::optional<ExitStatus> status = vm.process->wait(after(Milliseconds(4'000)));
        REQUIRE(status);
        CHECK(*status == ExitStatus { 0, 0 });
        deployment.start(vm);
        std::this_thread::sleep_for(Milliseconds(1'500));
    }
    int cut = 0;
    const std::vector<CallerRecord> records = callers.stop();
    for (const CallerRecord &record : records) {
        const bool isCut = record.status == 0 && !record.wasRefusedConnection;
        cut += isCut ? 1 : 0;
        if (isCut) {
            MESSAGE(record.method << " " << record.id << " to " << record.vm << " sent " << sinceStart(record.sentAt)
                                  << " ms after the first stop, ended " << sinceStart(record.endedAt)
                                  << " ms after it");
        }
    }
    CHECK(records.size() > 500);
    CHECK(cut == 0);
}

TEST_CASE("A customer gets no more than its quota over all VMs, and nearly all of it")
{
    // Guards against a customer that multiplies its rate by the number of VMs.
    EntryDeployment deployment(2, 4);
    EntryRules rules;
    rules.version = 2;
    rules.rate = 40;
    deployment.applyRules(rules);
    std::this_thread::sleep_for(Milliseconds(3'000));
    EntryCallers::Settings settings;
    settings.callers = 12;
    EntryCallers callers(deployment, settings);
    constexpr Milliseconds time { 8'000 };
    std::this_thread::sleep_for(time);
    callers.stop();
    std::vector<TimePoint> runs;
    for (const WireTargetRun &run : deployment.targets().runs()) {
        runs.push_back(run.at);
    }
    std::sort(runs.begin(), runs.end());
    std::size_t first = 0;
    std::size_t most = 0;
    for (std::size_t last = 0; last < runs.size(); ++last) {
        while (runs[last] - runs[first] >= Milliseconds(5'000)) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    CHECK(static_cast<double>(most) <= (rules.rate * 5 + rules.rate) * 1.1 + 20);
    CHECK(static_cast<double>(runs.size()) >= 0.85 * rules.rate * 8);
}

TEST_CASE("Changed settings are applied without a signal, and invalid ones are ignored")
{
    // Guards against a process that exits because of an invalid settings file.
    EntryDeployment deployment(1, 1);
    EntryVm &vm = deployment.vms().front();
    std::ofstream(deployment.settingsPath(vm)) << deployment.settingsText(vm, Milliseconds(2'000));
    CHECK(waitFor(
        [&] {
            return vm.process->output().find("\"name\":\"settings-reloaded\"") != std::string::npos;
        },
        after(Milliseconds(3'000))));
    std::ofstream(deployment.settingsPath(vm)) << "{ broken";
    CHECK(waitFor(
        [&] {
            return vm.process->output().find("\"name\":\"settings-rejected\"") != std::string::npos;
        },
        after(Milliseconds(3'000))));
    CHECK(read(deployment, vm).status == 200);
    vm.process->terminate();
    const std::optional<ExitStatus> status = vm.process->wait(after(Milliseconds(2'500)));
    REQUIRE(status);
    CHECK(*status == ExitStatus { 0, 0 });
}
