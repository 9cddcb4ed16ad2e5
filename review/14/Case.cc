// Two machines join, one shortly before the store comes back from a copy some seconds old, one shortly after that. The
// first one is gone from the list for good, the second one stays unknown to the others, and all keep the shares of each
// tenant's quota that they had taken.

#include "StandIns.hh"

using namespace Review;

namespace {

constexpr double rate = 100;
constexpr double burst = 50;
constexpr double window = 5.0;
constexpr double overage = 0.1;
constexpr double slack = 20;
constexpr double copyAge = 5.0;
constexpr double awayTime = 1.0;
constexpr double settleTime = 15.0; // From the join until the tenant sends more.
constexpr double burstTime = 12.0;
constexpr int clientsPerMachine = 24;

int run()
{
    Deployment deployment({ { "cuyo-a", "cuyo" }, { "cuyo-b", "cuyo" } });
    Store &store = deployment.store();
    store.set("op", "config",
              configText(12, { { "status", "idempotent", "estado" } }, { "estado" },
                         { { "vans", { "key-van" }, rate, burst }, { "bars", { "key-bar" }, 0, 0 } }));
    for (int i = 1; i <= 6; ++i) {
        if (!deployment.addUpstream("i-" + std::to_string(i), "estado", i % 2 != 0 ? "cuyo-a" : "cuyo-b", 9, 0.02).start()) {
            return 2;
        }
    }
    for (int i = 1; i <= 4; ++i) {
        deployment.addMachine("edge-" + std::to_string(i), i % 2 != 0 ? "cuyo-a" : "cuyo-b");
    }
    std::vector<Machine> &machines = deployment.machines();
    deployment.start(machines[0]);
    deployment.start(machines[1]);
    if (!deployment.waitUntilReady(20)) {
        return 2;
    }
    say("two machines are ready");
    sleepFor(8);
    const Store::Content copy = store.copy();
    const double copiedAt = now();
    sleepFor(3.2);
    deployment.start(machines[2]);
    say("edge-3 joins");
    if (!deployment.waitUntilReady(4)) {
        return 2;
    }
    sleepUntil(copiedAt + copyAge);
    if (hasTrouble()) {
        say("the store goes away at version " + std::to_string(store.version()));
        store.goAway();
        sleepFor(awayTime);
        store.comeBackFrom(copy);
        say("the store is back from a copy at version " + std::to_string(copy.version));
        for (const auto &upstream : deployment.upstreams()) {
            upstream->beat();
        }
    }
    sleepFor(0.3);
    deployment.start(machines[3]);
    say("edge-4 joins");
    if (!deployment.waitUntilReady(10)) {
        return 2;
    }
    sleepFor(settleTime);
    std::string listed;
    for (const std::string &key : store.keys("vms")) {
        listed += " " + key;
    }
    say("the store's list of machines:" + listed);
    for (const Machine &machine : machines) {
        say("directory of " + machine.name + " (" + machine.ip + "): " + deployment.directory(machine));
    }
    say("the tenant sends several times its usual, to all machines");
    std::atomic<bool> isEnding { false };
    std::atomic<int> sent { 0 };
    std::mutex mutex;
    std::map<std::string, double> sentAt;
    std::vector<std::thread> callers;
    for (const Machine &machine : machines) {
        for (int i = 0; i < clientsPerMachine; ++i) {
            callers.emplace_back([&] {
                Client client;
                while (!isEnding) {
                    const Sent one = client.request(machine, "GET", "/status/x", "key-van");
                    ++sent;
                    {
                        const std::lock_guard guard(mutex);
                        sentAt[one.attempt] = one.at;
                    }
                    sleepFor(one.status == 200 ? 0.02 : 0.06);
                }
            });
        }
    }
    sleepFor(burstTime);
    isEnding = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    struct Run
    {
        double sentAt;
        double ranAt;
    };
    std::vector<Run> runs;
    std::map<std::string, int> byMachine;
    for (const auto &upstream : deployment.upstreams()) {
        for (const Arrival &arrival : upstream->arrivals()) {
            if (arrival.hasRun && arrival.tenant == "vans") {
                runs.push_back({ sentAt[arrival.attempt], arrival.at });
                ++byMachine[arrival.machine];
            }
        }
    }
    // Requests that are both sent and run inside a window.
    const double allowed = (rate * window + burst) * (1 + overage) + slack;
    std::size_t most = 0;
    double mostFrom = 0;
    double lastFrom = 0; // The last window that has too many.
    for (const Run &first : runs) {
        std::size_t count = 0;
        for (const Run &one : runs) {
            count += one.sentAt >= first.sentAt && one.ranAt <= first.sentAt + window ? 1 : 0;
        }
        if (count > most) {
            most = count;
            mostFrom = first.sentAt;
        }
        if (static_cast<double>(count) > allowed) {
            lastFrom = std::max(lastFrom, first.sentAt);
        }
    }
    for (const auto &[machine, count] : byMachine) {
        say(machine + " passed on " + std::to_string(count));
    }
    say("requests sent: " + std::to_string(sent) + "; run in the worst window of 5 s, from "
        + std::to_string(mostFrom) + ": " + std::to_string(most) + ", allowed: " + std::to_string(allowed)
        + "; last window with more begins at " + std::to_string(lastFrom));
    if (static_cast<double>(most) < rate * window / 2) {
        return 2;
    }
    return static_cast<double>(most) > allowed ? 1 : 0;
}

} // namespace

int main()
{
    return runCase("review/14", run);
}
