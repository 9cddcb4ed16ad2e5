// Another writer leaves an entry in the store's table of upstreams: of a service that the configuration doesn't name, with
// an address in another spelling.
#include "standins.hh"

using namespace rv;

namespace {

constexpr int machineCount = 3;
constexpr int calmMs = 3'000;
constexpr int watchMs = 15'000;
constexpr int restartMs = 1'000;
constexpr int endsThatBreak = 3;
constexpr int machinesThatBreak = 2;
constexpr int requestIntervalMs = 20;

} // namespace

int main(int, char **arguments)
{
    ::signal(SIGPIPE, SIG_IGN);
    Record record(std::string(arguments[1]) + "/record.txt");
    Folder folder;
    const std::string subnet = freeSubnet();
    const bool isTrouble = hasTrouble();
    Store store(subnet + "1");
    std::atomic<int> ran { 0 };
    const auto serve = [&](const std::string &upstreamId) {
        return [&ran, upstreamId](Connection &connection) {
            while (std::optional<Message> request = connection.readHead(nowMs() + 30'000)) {
                connection.readBody(*request, nowMs() + 5'000, false);
                if (request->target() == "/health") {
                    connection.send("HTTP/1.1 200 OK\r\nX-Instance-Id: " + upstreamId
                                    + "\r\nX-Cold-Ms: 0\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                const std::string id = request->header("X-Attempt-Id");
                ++ran;
                sleepMs(5);
                connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: " + sealOf(id)
                                + "\r\nContent-Length: 2\r\n\r\nok");
            }
        };
    };
    Server first(subnet + "2", 0, serve("i-1"));
    Server second(subnet + "2", 0, serve("i-2"));
    std::vector<std::unique_ptr<Machine>> machines;
    const std::vector<std::string> zones { "a", "b", "c" };
    for (int i = 0; i < machineCount; ++i) {
        const auto number = static_cast<std::size_t>(i);
        machines.push_back(std::make_unique<Machine>("edge-" + std::to_string(i + 1), subnet + std::to_string(10 + i),
                                                     zones[number], "r" + std::to_string(number / 2), folder.path()));
    }
    store.set("op", "config",
              "{\"version\":\"00000001\",\"routes\":[{\"name\":\"read\",\"host\":\"h.example\",\"prefix\":\"/read/\","
              "\"kind\":\"idempotent\",\"timeout\":\"2s\",\"target_latency\":\"500ms\",\"priority\":1,\"service\":\"s\","
              "\"max_attempts\":2,\"public\":true}],\"services\":[{\"name\":\"s\",\"health_path\":\"/health\"}],"
              "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,\"header_timeout\":\"3s\","
              "\"idle_timeout\":\"15s\"}}");
    store.set("servers", "i-1", entryText("s", first.address(), "a", 8, "ready", 1, 1));
    store.set("servers", "i-2", entryText("s", second.address(), "c", 8, "ready", 1, 1));
    for (const auto &machine : machines) {
        machine->writeSettings("{\"a\":\"r0\",\"b\":\"r0\",\"c\":\"r1\"}", store.address());
        machine->start();
    }
    if (!waitReady(machines, 20'000)) {
        record.line("the machines were not ready in time");
        finish(exitCouldNotRun, machines, folder);
    }
    std::atomic<bool> isOver { false };
    std::atomic<int> answered { 0 };
    std::atomic<int> failed { 0 };
    std::thread caller([&] {
        for (int i = 0; !isOver; ++i) {
            const std::string id = attemptId();
            const std::unique_ptr<Connection> connection =
                Connection::open(subnet + std::to_string(10 + i % machineCount) + ":8206", 1'000);
            bool isAnswered = false;
            if (connection
                && connection->send("GET /read/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
                                    + "\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n")) {
                std::optional<Message> answer = connection->readHead(nowMs() + 2'000);
                if (answer) {
                    connection->readBody(*answer, nowMs() + 2'000, true);
                    isAnswered = answer->status() == 200 && answer->isComplete && answer->body == "ok";
                }
            }
            ++(isAnswered ? answered : failed);
            sleepMs(requestIntervalMs);
        }
    });
    sleepMs(calmMs);
    record.line("before the entry: " + std::to_string(answered) + " requests answered, " + std::to_string(failed) + " not");
    answered = 0;
    failed = 0;
    if (isTrouble) {
        // 127.0.0.08 is meant as 127.0.0.8. Nobody listens there, and nobody shall be asked.
        store.set("servers", "printer-7", entryText("printing", "127.0.0.08:9100", "a", 4, "ready", 1, 1));
        record.line("another writer's entry stands in the store: servers/printer-7, service printing");
    }
    std::vector<int> ends(machines.size(), 0);
    std::vector<std::int64_t> startAt(machines.size(), 0);
    const std::int64_t until = nowMs() + watchMs;
    while (nowMs() < until) {
        for (std::size_t i = 0; i < machines.size(); ++i) {
            if (const std::optional<int> status = machines[i]->ended()) {
                ++ends[i];
                startAt[i] = nowMs() + restartMs;
                record.line(machines[i]->name + " ended by itself, "
                            + (WIFSIGNALED(*status) ? "signal " + std::to_string(WTERMSIG(*status))
                                                    : "exit code " + std::to_string(WEXITSTATUS(*status))));
            }
            if (startAt[i] != 0 && nowMs() >= startAt[i]) {
                startAt[i] = 0;
                machines[i]->start();
                record.line(machines[i]->name + " is started again by the platform");
            }
        }
        sleepMs(20);
    }
    isOver = true;
    caller.join();
    int broken = 0;
    for (std::size_t i = 0; i < machines.size(); ++i) {
        record.line(machines[i]->name + " ended " + std::to_string(ends[i]) + " times");
        broken += ends[i] >= endsThatBreak ? 1 : 0;
    }
    record.line("after it: " + std::to_string(answered) + " requests answered, " + std::to_string(failed) + " not");
    finish(broken >= machinesThatBreak ? exitBroken : exitHeld, machines, folder);
}
