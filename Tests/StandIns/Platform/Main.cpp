#include <LibCore/Result.h>
#include <StandIns/Platform/PlatformServer.h>

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "Address to listen on, \"ip:port\"; port 0 takes a free one");
DEFINE_int32(threads, 1000, "Most connections that are open at the same time");
DEFINE_int32(latency_ms, 0, "Latency of each request in milliseconds");
DEFINE_uint64(read_ceiling, 2000, "Reads per second that the counters are compared with");
DEFINE_uint64(write_ceiling, 300, "Writes per second that the counters are compared with");

namespace {

constexpr int usageError = 2;

bool isPositive(const char *name, std::int32_t value)
{
    if (value > 0) {
        return true;
    }
    std::cerr << "--" << name << ": found " << value << ", expected a positive number\n";
    return false;
}

bool isNotNegative(const char *name, std::int32_t value)
{
    if (value >= 0) {
        return true;
    }
    std::cerr << "--" << name << ": found " << value << ", expected 0 or more\n";
    return false;
}

int run(const sigset_t &signals)
{
    using namespace Sapphire;
    const PlatformServerSettings settings { FLAGS_listen, FLAGS_threads, FLAGS_read_ceiling, FLAGS_write_ceiling };
    Outcome<std::unique_ptr<PlatformServer>> server = capture([&] {
        return PlatformServer::create(settings);
    });
    if (!server) {
        std::cerr << "--listen: " << server.error().message << '\n';
        return usageError;
    }
    server.value()->parts().faults.setLatency(Milliseconds(FLAGS_latency_ms));
    std::cout << "listening on " << server.value()->address() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}

} // namespace

DEFINE_validator(threads, &isPositive);
DEFINE_validator(latency_ms, &isNotNegative);

int main(int argc, char *argv[])
{
    gflags::SetUsageMessage("Simulates the platform: table service, object store and VM list, in memory");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc > 1) {
        std::cerr << "unexpected argument \"" << argv[1] << "\"\n";
        return usageError;
    }
    // Blocked before the first thread starts, so that all threads leave the signals to sigwait().
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return run(signals);
}
