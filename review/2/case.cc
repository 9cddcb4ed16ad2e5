// Upstreams truncate answers and keep the connection. Do these requests get a final answer at the route's timeout?
#include "../standins/standins.hh"

using namespace review;

namespace {

constexpr int upstreamCount = 6;
// One entry of the site file: garble, how = "", share = 0.42, x = 0.024, for_s = 5.8.
constexpr int faultyUpstreams = 2; // 0.33 of the service.
constexpr double truncatedPart = 0.024;
constexpr double faultSeconds = 5.8;
constexpr double timeoutSeconds = 1.5;
constexpr double slackSeconds = 0.5;
constexpr double deadlineSeconds = 4.0;
constexpr int clientCount = 60;

const char *const rules =
    R"({"version":"00000001","routes":[{"name":"status","host":"h.example","prefix":"/status/","kind":"idempotent",)"
    R"("timeout":"1500ms","target_latency":"600ms","priority":1,"service":"gate","max_attempts":2,"public":true,)"
    R"("sticky":false,"home_regions":[]}],"services":[{"name":"gate","health_path":"/health","max_conns":660,)"
    R"("cold_start":"3s","cold_per_s":50}],"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,)"
    R"("header_timeout":"3s","idle_timeout":"15s"},"tenants":[{"name":"grifo","api_keys":["key-1"],)"
    R"("rate_per_s":0,"burst":0}]})";

} // namespace

int main(int, char **argv)
{
    const Record record("record.txt");
    Deployment deployment(argv[1]);
    const std::vector<std::string> zones { "sapporo-a", "asahikawa-a", "kushiro-a" };
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (int i = 0; i < upstreamCount; ++i) {
        Upstream::Settings settings { "gate", zones[i % zones.size()], 9, 27, 0.1, 5000 };
        upstreams.push_back(std::make_unique<Upstream>(deployment.ip(2), "i-" + std::to_string(i + 1), settings, record));
    }
    deployment.store().set("op", "config", rules);
    const Heartbeats heartbeats(upstreams, deployment.store());
    for (const std::string &zone : zones) {
        deployment.addVm(zone, zone.substr(0, zone.find('-')));
    }
    for (const auto &vm : deployment.vms()) {
        deployment.start(*vm);
    }
    deployment.waitUntilReady();
    sleepFor(3);

    std::atomic<bool> isOver { false };
    std::mutex mutex;
    std::vector<Result> results;
    std::vector<std::thread> clients;
    for (int i = 0; i < clientCount; ++i) {
        clients.emplace_back([&, i] {
            for (int n = i; !isOver; ++n) {
                const Vm &vm = *deployment.vms()[static_cast<std::size_t>(n) % deployment.vms().size()];
                const std::string id = attemptId();
                const Result result = request(vm.ip, Vm::front, "GET", "/status/" + std::to_string(n),
                                              "Host: h.example\r\nX-Attempt-Id: " + id
                                                  + "\r\nX-Deadline-Ms: 4000\r\n",
                                              "", deadlineSeconds);
                record.line("request %s to %s sent at %.3f, after %.3f s: %s %d", id.c_str(), vm.name.c_str(),
                            result.sentAt, result.endedAt - result.sentAt,
                            result.timedOut ? "nothing more until the client's deadline" : "final answer", result.status);
                const std::lock_guard guard(mutex);
                results.push_back(result);
            }
        });
    }
    sleepFor(5); // Longer than `contact`: all machines are in touch.
    std::mt19937 random(1);
    std::mutex randomMutex;
    const double faultEnd = now() + faultSeconds;
    for (int i = 0; hasTrouble() && i < faultyUpstreams; ++i) {
        upstreams[static_cast<std::size_t>(i)]->setFault([&] {
            const std::lock_guard guard(randomMutex);
            const bool isSpoilt = now() < faultEnd && std::uniform_real_distribution()(random) < truncatedPart;
            return isSpoilt ? Upstream::Fault::Truncated : Upstream::Fault::None;
        });
    }
    sleepUntil(faultEnd + 5);
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }

    int whole = 0;
    int late = 0;
    int unanswered = 0;
    for (const Result &result : results) {
        const double time = result.endedAt - result.sentAt;
        whole += result.status == 200 ? 1 : 0;
        late += time > timeoutSeconds ? 1 : 0;
        unanswered += time > timeoutSeconds + slackSeconds ? 1 : 0;
    }
    char summary[300];
    std::snprintf(summary, sizeof summary,
                  "%zu requests, %d answered with 200; %d lasted longer than the route's timeout, %d of them had no "
                  "final answer 0.5 s after it",
                  results.size(), whole, late, unanswered);
    // Broken by eight, if that is more than a quarter.
    const bool isBroken = unanswered >= 8 && unanswered * 4 > late;
    record.line("%s: %s", isBroken ? "CONFIG broken" : "held", summary);
    std::printf("%s: %s\n", isBroken ? "CONFIG broken" : "held", summary);
    if (whole < 500) {
        cannotRun("hardly any request was served");
    }
    finish(isBroken ? 1 : 0);
}
