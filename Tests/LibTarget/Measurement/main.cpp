#include <LibCore/BootClock.h>
#include <LibTarget/MemoryBody.h>
#include <LibTarget/MemorySink.h>
#include <LibTarget/ServiceTargets.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <gflags/gflags.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <thread>

#include <sys/resource.h>

DEFINE_string(target, "127.0.0.1:7901", "ip:port of a running target stand-in");
DEFINE_string(mode, "exchange", "direct (POCO's client), exchange (TargetExchange) or service (ServiceTargets)");
DEFINE_string(path, "/?sleep=0", "path and query of the requests");
DEFINE_int32(threads, 1, "threads that send one request at a time each");
DEFINE_int32(requests, 20000, "requests of each thread");

using namespace Sapphire;

namespace {

/// Sends one request and returns whether the answer was whole.
using Sender = std::function<bool()>;

RequestHead makeHead(const Clock &clock)
{
    RequestHead head;
    head.service = ServiceId("status");
    head.method = "GET";
    head.path = FLAGS_path;
    head.deadline = Deadline::after(clock.now(), Milliseconds(5'000));
    head.bodyBytes = 0;
    return head;
}

Sender makeDirect()
{
    auto session = std::make_shared<Poco::Net::HTTPClientSession>(Poco::Net::SocketAddress(FLAGS_target));
    session->setKeepAlive(true);
    return [session] {
        Poco::Net::HTTPRequest request("GET", FLAGS_path, "HTTP/1.1");
        request.setKeepAlive(true);
        session->sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::string body;
        Poco::StreamCopier::copyToString(session->receiveResponse(response), body);
        return response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK;
    };
}

Sender makeExchange(const Clock &clock, ConnectionPool &pool)
{
    const AttemptTarget target { TargetId("t0"), {}, VmId("vm-1"), &pool };
    auto exchange = std::make_shared<TargetExchange>(target, clock);
    return [exchange, &clock] {
        MemoryBody body;
        MemorySink sink;
        return !exchange->handle(makeHead(clock), body, sink).refusal;
    };
}

Sender makeService(const Clock &clock, ServiceTargets &targets)
{
    return [&] {
        MemoryBody body;
        MemorySink sink;
        return !targets.run(makeHead(clock), body, sink, {}).refusal;
    };
}

Configuration makeConfiguration()
{
    Configuration configuration;
    configuration.services[ServiceId("status")].id = ServiceId("status");
    TargetRecord &target = configuration.targets[TargetId("t0")];
    target.id = TargetId("t0");
    target.service = ServiceId("status");
    target.address = FLAGS_target;
    target.slots = ConnectionPool::mostLimit;
    return configuration;
}

double processorSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

void measure(const Clock &clock, const Sender &send, std::vector<Microseconds> &latencies, int &failures)
{
    latencies.reserve(FLAGS_requests);
    for (int i = 0; i < FLAGS_requests; ++i) {
        const TimePoint start = clock.now();
        failures += send() ? 0 : 1;
        latencies.push_back(clock.now() - start);
    }
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Measures requests to one target on loopback.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const BootClock clock;
    ConnectionPool pool(Poco::Net::SocketAddress(FLAGS_target), ConnectionPool::mostLimit, clock);
    ServiceTargets targets({ VmId("vm-1"), RegionId() }, clock, nullptr);
    targets.update(makeConfiguration(), { VmId("vm-1") });
    std::vector<std::vector<Microseconds>> latencies(FLAGS_threads);
    std::vector<int> failures(FLAGS_threads);
    std::vector<std::thread> threads;
    threads.reserve(FLAGS_threads);
    const double processorStart = processorSeconds();
    const TimePoint start = clock.now();
    for (int i = 0; i < FLAGS_threads; ++i) {
        Sender sender = makeService(clock, targets);
        if (FLAGS_mode == "direct") {
            sender = makeDirect();
        } else if (FLAGS_mode == "exchange") {
            sender = makeExchange(clock, pool);
        }
        threads.emplace_back([&, i, sender] {
            measure(clock, sender, latencies[i], failures[i]);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const double wall = static_cast<double>((clock.now() - start).count()) / 1e6;
    const double processor = processorSeconds() - processorStart;
    std::vector<Microseconds> all;
    int failed = 0;
    for (int i = 0; i < FLAGS_threads; ++i) {
        all.insert(all.end(), latencies[i].begin(), latencies[i].end());
        failed += failures[i];
    }
    std::sort(all.begin(), all.end());
    const auto count = static_cast<double>(all.size());
    std::cout << FLAGS_mode << ": " << all.size() << " requests, " << failed << " failed, "
              << static_cast<int>(count / wall) << "/s, " << static_cast<int>(count / processor)
              << " per core second, median " << all[all.size() / 2].count() << " us, p99 "
              << all[all.size() * 99 / 100].count() << " us\n";
    return failed == 0 ? 0 : 1;
}
