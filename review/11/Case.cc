// The store comes back from a copy some seconds old. A key that the operator withdraws after that keeps working.

#include "StandIns.hh"

using namespace Review;

namespace {

constexpr double contact = 3.0;
constexpr double configDeadline = 2.5;
constexpr double copyAge = 5.0;
constexpr double awayTime = 1.0;
constexpr double margin = 0.5;
constexpr double checkTime = 30.0;

const std::vector<RouteText> routes { { "status", "idempotent", "estado" } };
const std::vector<std::string> services { "estado" };

std::string config(unsigned version, bool hasSecondKey)
{
    std::vector<std::string> keys { "key-van-1" };
    if (hasSecondKey) {
        keys.push_back("key-van-2");
    }
    return configText(version, routes, services, { { "vans", keys, 0, 0 }, { "bars", { "key-bar" }, 0, 0 } });
}

int run()
{
    Deployment deployment({ { "cuyo-a", "cuyo" }, { "pampa-a", "pampa" } });
    Store &store = deployment.store();
    store.set("op", "config", config(12, true));
    for (int i = 1; i <= 6; ++i) {
        deployment.addUpstream("i-" + std::to_string(i), "estado", i % 2 != 0 ? "cuyo-a" : "pampa-a");
    }
    for (const auto &upstream : deployment.upstreams()) {
        if (!upstream->start()) {
            return 2;
        }
    }
    for (int i = 1; i <= 4; ++i) {
        deployment.addMachine("edge-" + std::to_string(i), i <= 2 ? "cuyo-a" : "pampa-a");
    }
    for (Machine &machine : deployment.machines()) {
        deployment.start(machine);
    }
    if (!deployment.waitUntilReady(20)) {
        say("the machines don't become ready");
        return 2;
    }
    say("all machines are ready");

    std::atomic<bool> isEnding { false };
    std::atomic<int> served { 0 };
    std::vector<std::thread> callers;
    for (const Machine &machine : deployment.machines()) {
        callers.emplace_back([&] {
            Client client;
            while (!isEnding) {
                served += client.request(machine, "GET", "/status/a", "key-bar").status == 200 ? 1 : 0;
                sleepFor(0.2);
            }
        });
    }
    sleepFor(10);
    const Store::Content copy = store.copy();
    sleepFor(copyAge);
    const std::uint64_t versionBefore = store.version();
    if (hasTrouble()) {
        say("the store goes away at version " + std::to_string(versionBefore));
        store.goAway();
        sleepFor(awayTime);
        store.comeBackFrom(copy);
        say("the store is back from a copy at version " + std::to_string(copy.version));
        // The upstreams write again what they wrote. The operator wrote nothing since the copy was made.
        for (const auto &upstream : deployment.upstreams()) {
            upstream->beat();
        }
    }
    const double backAt = now();
    sleepFor(1);
    const std::uint64_t version = store.set("op", "config", config(13, false));
    const double acknowledgedAt = now();
    say("configuration 13 without key-van-2 is acknowledged, store version " + std::to_string(version));

    const double checkFrom = std::max(backAt + contact, acknowledgedAt + configDeadline) + margin;
    sleepUntil(checkFrom);
    say("requests with key-van-2 from here on break CONFIG if they run");
    std::map<std::string, std::string> late; // Attempts and the machines that got them.
    std::map<int, int> statuses;
    int valid = 0;
    Client client;
    while (now() < checkFrom + checkTime) {
        for (const Machine &machine : deployment.machines()) {
            const Sent sent = client.request(machine, "GET", "/status/b", "key-van-2");
            late[sent.attempt] = sent.machine;
            ++statuses[sent.status];
            valid += client.request(machine, "GET", "/status/c", "key-van-1").status == 200 ? 1 : 0;
        }
        sleepFor(0.5);
    }
    isEnding = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    int runs = 0;
    std::set<std::string> machines;
    for (const auto &upstream : deployment.upstreams()) {
        for (const Arrival &arrival : upstream->arrivals()) {
            if (arrival.hasRun && late.contains(arrival.attempt)) {
                ++runs;
                machines.insert(late[arrival.attempt]);
            }
        }
    }
    std::string text;
    for (const auto &[status, count] : statuses) {
        text += " " + std::to_string(status) + ": " + std::to_string(count);
    }
    say("store version at the end: " + std::to_string(store.version()) + ", before the drill: "
        + std::to_string(versionBefore));
    say("other requests served: " + std::to_string(served) + "; with key-van-1: " + std::to_string(valid));
    say("answers to key-van-2:" + text);
    say(std::to_string(runs) + " of " + std::to_string(late.size()) + " requests with the withdrawn key ran, by "
        + std::to_string(machines.size()) + " machines");
    if (served == 0 || valid == 0) {
        return 2;
    }
    return runs > 0 ? 1 : 0;
}

} // namespace

int main()
{
    return runCase("review/11", run);
}
