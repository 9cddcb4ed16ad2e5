#include <Entry/EntryCallers.h>
#include <LibCore/Duration.h>
#include <Upgrade/ReleasePrograms.h>

#include <algorithm>
#include <iostream>
#include <map>

using namespace Sapphire;

namespace {

constexpr Milliseconds stopLimit { 4'000 };
constexpr Milliseconds settleTime { 2'500 };
constexpr Milliseconds sideBySideTime { 60'000 };

void replace(EntryDeployment &deployment, EntryVm &vm, const std::string &program)
{
    vm.process->terminate();
    const auto status = vm.process->wait(after(stopLimit));
    REQUIRE(status);
    CHECK(*status == ExitStatus { 0, 0 });
    vm.program = program;
    deployment.start(vm);
    std::this_thread::sleep_for(settleTime);
    // Look-ups name a VM only while its datagrams are understood by the VM that answers.
    deployment.waitUntilReady();
    std::cout << vm.name << " runs " << program << std::endl;
}

void checkRules(EntryDeployment &deployment, int version)
{
    EntryRules rules;
    rules.version = version;
    rules.keys = { "key-1", "key-of-" + std::to_string(version) };
    deployment.applyRules(rules);
    for (const EntryVm &vm : deployment.vms()) {
        CAPTURE(vm.name);
        CHECK(waitFor(
            [&] {
                return EntryCallers::send(deployment.callerAddress(vm), "GET", "/read/1", "r", rules.keys.back(),
                                          Milliseconds(1'000))
                           .status
                    == 200;
            },
            after(Milliseconds(3'000))));
    }
}

void checkRecords(const std::vector<CallerRecord> &records)
{
    std::map<std::string, int> results;
    int cut = 0;
    int refused = 0;
    for (const CallerRecord &record : records) {
        ++results[record.wasRefusedConnection ? "connection refused" : "status " + std::to_string(record.status)];
        if (record.status == 0 && !record.wasRefusedConnection) {
            ++cut;
            std::cout << "  no answer: " << record.id << " " << record.method << " at " << record.vm
                      << ", used connection " << record.isOnUsedConnection << ", sent after "
                      << millisecondsBetween(records.front().sentAt, record.sentAt) << " ms, ended after "
                      << millisecondsBetween(record.sentAt, record.endedAt) << " ms" << std::endl;
        }
        refused += record.status != 0 && record.status != 200 ? 1 : 0;
    }
    for (const auto &[result, count] : results) {
        std::cout << "  " << count << " " << result << std::endl;
    }
    CHECK(records.size() > 1'000);
    CHECK(cut == 0);
    CHECK(refused == 0);
}

void checkBookings(EntryDeployment &deployment, const std::vector<CallerRecord> &records)
{
    std::map<std::string, int> runs;
    for (const WireTargetRun &run : deployment.targets().runs()) {
        if (run.path.starts_with("/book/")) {
            ++runs[run.requestId];
        }
    }
    for (const auto &entry : runs) {
        CAPTURE(entry.first);
        CHECK(entry.second == 1);
    }
    const auto lost = std::count_if(records.begin(), records.end(), [&](const CallerRecord &record) {
        return record.method == "POST" && record.status == 200 && runs.find(record.id) == runs.end();
    });
    CHECK(lost == 0);
    CHECK(runs.size() > 100);
}

} // namespace

TEST_CASE("VMs of sapphire-entry are replaced one by one by another release while callers go on")
{
    // Guards against a release that misreads datagrams or stored entries of the other one.
    EntryDeployment deployment(2, 2, EntryDeployment::Links::Direct, oldProgram("sapphire-entry"));
    EntryCallers::Settings settings;
    settings.keepsConnections = true;
    EntryCallers callers(deployment, settings);
    int version = 1;
    std::vector<EntryVm> &vms = deployment.vms();
    // One VM of each region first, so that both releases send to each other within and between regions.
    for (const std::size_t i : { 0U, 2U, 1U, 3U }) {
        replace(deployment, vms[i], newProgram("sapphire-entry"));
        checkRules(deployment, ++version);
        if (i == 2) {
            std::this_thread::sleep_for(sideBySideTime);
            deployment.waitUntilReady();
            checkRules(deployment, ++version);
        }
    }
    replace(deployment, vms[0], oldProgram("sapphire-entry"));
    checkRules(deployment, ++version);
    const std::vector<CallerRecord> records = callers.stop();
    checkRecords(records);
    checkBookings(deployment, records);
    for (const char *event : { "datagram-rejected", "configuration-unreadable", "configuration-entry-unreadable",
                               "target-entry-unreadable", "vm-entry-unreadable" }) {
        for (const EntryVm &vm : vms) {
            CAPTURE(event);
            CAPTURE(vm.name);
            CHECK(vm.process->output().find("\"" + std::string(event) + "\"") == std::string::npos);
        }
    }
}
