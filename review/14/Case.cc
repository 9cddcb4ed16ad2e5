// A machine that reads the list of upstreams stands still while the store's answer is on its way. When it goes on, it
// tells the others the old list, and they send requests to an upstream that has been draining for seconds. Eight times,
// since two threads of the machine race.

#include "StandIns.hh"

using namespace Review;

namespace {

constexpr double drain = 2.5;
constexpr double freezeTime = 4.0;
constexpr double storeRoundTrip = 0.04; // Between two regions of the site.
constexpr int clientsPerMachine = 16;
constexpr int cycles = 8;

std::string config(unsigned version, const std::string &service)
{
    return configText(version, { { "history", "idempotent", service } }, { "estado", "agenda", "archivo" },
                      { { "vans", { "key-van" }, 0, 0 } });
}

int run()
{
    Deployment deployment({ { "pampa-a", "pampa" }, { "pampa-b", "pampa" } });
    Store &store = deployment.store();
    store.setRoundTrip(storeRoundTrip);
    store.set("op", "config", config(12, "estado"));
    // As many as in the site.
    const std::vector<std::pair<std::string, int>> groups { { "estado", 14 }, { "agenda", 12 }, { "archivo", 18 } };
    for (const auto &[service, count] : groups) {
        for (int i = 1; i <= count; ++i) {
            const std::string id = service + "-" + std::to_string(i);
            if (!deployment.addUpstream(id, service, i % 2 != 0 ? "pampa-a" : "pampa-b", 9).start()) {
                return 2;
            }
        }
    }
    for (int i = 1; i <= 4; ++i) {
        deployment.addMachine("edge-" + std::to_string(i), i % 2 != 0 ? "pampa-a" : "pampa-b");
    }
    std::vector<Machine> &machines = deployment.machines();
    for (Machine &machine : machines) {
        deployment.start(machine);
    }
    if (!deployment.waitUntilReady(20)) {
        return 2;
    }
    say("all machines are ready");
    sleepFor(8);
    std::atomic<bool> isEnding { false };
    std::atomic<int> served { 0 };
    std::mutex mutex;
    std::map<std::string, Sent> sent;
    std::vector<std::thread> callers;
    for (const Machine &machine : machines) {
        for (int i = 0; i < clientsPerMachine; ++i) {
            callers.emplace_back([&] {
                Client client;
                while (!isEnding) {
                    const Sent one = client.request(machine, "GET", "/history/x", "key-van");
                    served += one.status == 200 ? 1 : 0;
                    const std::lock_guard guard(mutex);
                    sent[one.attempt] = one;
                }
            });
        }
    }
    sleepFor(2);
    unsigned version = 12;
    int late = 0;
    for (int cycle = 0; cycle < cycles; ++cycle) {
        Upstream &leaving = *deployment.upstreams()[deployment.upstreams().size() - 1 - static_cast<std::size_t>(cycle)];
        const std::string reader = store.lastReader("servers");
        const auto frozen = std::find_if(machines.begin(), machines.end(), [&](const Machine &machine) {
            return machine.name == reader;
        });
        std::atomic<bool> isFrozen { !hasTrouble() };
        if (hasTrouble()) {
            store.onNextRead(reader, "servers", [&] {
                ::kill(frozen->process, SIGSTOP);
                isFrozen = true;
            });
        }
        const double end = now() + 3;
        while (!isFrozen && now() < end) {
            sleepFor(0.001);
        }
        if (!isFrozen) {
            return 2;
        }
        const double frozenAt = now();
        say(reader + (hasTrouble() ? " stands still, the store's answer is on its way" : " goes on"));
        sleepFor(0.05);
        leaving.isLeaving = true;
        leaving.beat();
        const double acknowledgedAt = now();
        sleepUntil(frozenAt + 2);
        store.set("op", "config", config(++version, "archivo"));
        sleepUntil(frozenAt + freezeTime);
        if (hasTrouble()) {
            ::kill(frozen->process, SIGCONT);
        }
        sleepFor(1);
        store.set("op", "config", config(++version, "estado"));
        sleepFor(4);
        int count = 0;
        for (const Arrival &arrival : leaving.arrivals()) {
            // The machine that stood still isn't in touch.
            if (arrival.at > acknowledgedAt + drain && arrival.machine != reader) {
                ++count;
            }
        }
        say(leaving.plan().id + " drains; requests from machines in touch later than 2.5 s after the acknowledgement: "
            + std::to_string(count));
        late += count;
    }
    isEnding = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    say("served: " + std::to_string(served) + "; requests that reached draining upstreams too late: "
        + std::to_string(late) + ", allowed: 0");
    return served == 0 ? 2 : late > 0 ? 1 : 0;
}

} // namespace

int main()
{
    return runCase("review/14", run);
}
