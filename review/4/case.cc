// All VMs are killed during an outage of the store. Does a customer get more than its quota when the store is back?
#include "../standins/standins.hh"

using namespace review;

namespace {

constexpr int upstreamCount = 18;
constexpr double rate = 60;
constexpr double burst = 10;
// The site's largest dose of hot_tenant: x = 7.5 for 6.5 s. The tenant sends its rate at other times.
constexpr double hotFactor = 7.5;
constexpr double hotSeconds = 6.5;
constexpr double hotBeforeReturn = 1;
constexpr int senders = 400;
constexpr double outageSeconds = 4.5; // The site's largest dose of platform_down.
constexpr double windowSeconds = 5;
constexpr double overage = 0.1;
constexpr double slack = 20;

const char *const rules =
    R"({"version":"00000001","routes":[{"name":"status","host":"h.example","prefix":"/status/","kind":"idempotent",)"
    R"("timeout":"1500ms","target_latency":"600ms","priority":1,"service":"gate","max_attempts":2,"public":false,)"
    R"("sticky":false,"home_regions":[]}],"services":[{"name":"gate","health_path":"/health","max_conns":660,)"
    R"("cold_start":"3s","cold_per_s":50}],"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,)"
    R"("header_timeout":"3s","idle_timeout":"15s"},"tenants":[{"name":"grifo","api_keys":["key-1"],)"
    R"("rate_per_s":60,"burst":10}]})";

} // namespace

int main(int, char **argv)
{
    const Record record("record.txt");
    constexpr double killAfter = 1.75;
    Deployment deployment(argv[1]);
    const std::vector<std::string> zones { "sapporo-a", "asahikawa-a", "kushiro-a" };
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (int i = 0; i < upstreamCount; ++i) {
        Upstream::Settings settings { "gate", zones[i % zones.size()], 9, 27, 0.05, 5000 };
        upstreams.push_back(std::make_unique<Upstream>(deployment.ip(2), "i-" + std::to_string(i + 1), settings, record));
    }
    deployment.store().set("op", "config", rules);
    const Heartbeats heartbeats(upstreams, deployment.store());
    for (const std::string &zone : { zones[0], zones[0], zones[1], zones[1], zones[2], zones[2] }) {
        deployment.addVm(zone, zone.substr(0, zone.find('-')));
    }
    for (const auto &vm : deployment.vms()) {
        deployment.start(*vm);
    }
    deployment.waitUntilReady();
    sleepFor(4);

    std::atomic<bool> isOver { false };
    std::atomic<double> hotFrom { 1e9 };
    std::mutex mutex;
    std::map<std::string, double> sentAt;
    std::map<int, int> statuses;
    std::vector<std::thread> clients;
    for (int i = 0; i < senders; ++i) {
        clients.emplace_back([&, i] {
            const double interval = senders / rate;
            double next = now() + interval * i / senders;
            for (int n = i; !isOver; ++n) {
                // The pause is seven and a half times as short while the tenant is hot.
                while (!isOver && now() < next) {
                    const bool isHot = now() > hotFrom && now() < hotFrom + hotSeconds;
                    const double hotNext = next - interval + interval / hotFactor;
                    if (isHot && now() >= std::max<double>(hotNext, hotFrom + interval / hotFactor * i / senders)) {
                        break;
                    }
                    sleepFor(0.005);
                }
                next = now() + interval;
                if (isOver) {
                    break;
                }
                const Vm &vm = *deployment.vms()[static_cast<std::size_t>(n) % deployment.vms().size()];
                const std::string id = attemptId();
                const Result result =
                    request(vm.ip, Vm::front, "GET", "/status/" + std::to_string(n),
                            "Host: h.example\r\nAuthorization: Token key-1\r\nX-Attempt-Id: " + id
                                + "\r\nX-Deadline-Ms: 4000\r\n",
                            "", 4.0);
                record.line("request %s to %s sent at %.3f, after %.3f s: %d", id.c_str(), vm.name.c_str(),
                            result.sentAt, result.endedAt - result.sentAt, result.status);
                const std::lock_guard guard(mutex);
                sentAt[id] = result.sentAt;
                ++statuses[result.status];
            }
        });
    }
    sleepFor(6);
    hotFrom = now() + outageSeconds - hotBeforeReturn;
    if (hasTrouble()) {
        const double outageEnd = now() + outageSeconds;
        record.line("the store answers all calls with 503");
        deployment.store().setRefuse([](const std::string &, const Message &) {
            return 503;
        });
        sleepFor(killAfter);
        record.line("all VMs are killed");
        for (const auto &vm : deployment.vms()) {
            vm->process->kill();
        }
        sleepFor(0.5);
        for (const auto &vm : deployment.vms()) {
            deployment.start(*vm);
        }
        sleepUntil(outageEnd);
        record.line("the store is back");
        deployment.store().setRefuse({});
    } else {
        sleepFor(outageSeconds);
    }
    sleepFor(8);
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }

    // Requests that are both sent and arrive at an upstream within the window.
    std::vector<std::pair<double, double>> counted;
    for (const auto &upstream : upstreams) {
        for (const Upstream::Run &run : upstream->runs()) {
            if (run.tenant == "grifo" && sentAt.contains(run.id)) {
                counted.emplace_back(run.at, sentAt[run.id]);
            }
        }
    }
    std::sort(counted.begin(), counted.end());
    int most = 0;
    double mostAt = 0;
    for (std::size_t last = 0; last < counted.size(); ++last) {
        const double begin = counted[last].first - windowSeconds;
        int count = 0;
        for (std::size_t i = 0; i <= last; ++i) {
            count += counted[i].first > begin && counted[i].second > begin ? 1 : 0;
        }
        if (count > most) {
            most = count;
            mostAt = begin;
        }
    }
    const double limit = (rate * windowSeconds + burst) * (1 + overage) + slack;
    const bool isBroken = most > limit;
    char summary[300];
    std::snprintf(summary, sizeof summary, "%d requests of the customer in 5 s from %.3f; %.0f are allowed; answered: "
                  "%d with 200, %d with 429, %d with 503", most, mostAt, limit, statuses[200], statuses[429],
                  statuses[503]);
    record.line("%s: %s", isBroken ? "QUOTA broken" : "held", summary);
    std::printf("%s: %s\n", isBroken ? "QUOTA broken" : "held", summary);
    if (statuses[200] < 300) {
        cannotRun("hardly any request was served");
    }
    finish(isBroken ? 1 : 0);
}
