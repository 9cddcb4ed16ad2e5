#include <LibCore/Result.h>
#include <StandIns/FaultProxy/FaultProxyServer.h>

#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

#include <sys/resource.h>

DEFINE_string(control, "127.0.0.1:0", "Address of the control endpoints, \"ip:port\"; port 0 takes a free one");
DEFINE_string(settings, "", "JSON file with the links; empty for none at the start");
DEFINE_int32(workers, 2, "Threads that serve the links, 1 to 16");

namespace {

constexpr int usageError = 2;
constexpr int mostWorkers = 16;

bool isWorkerCount(const char *name, std::int32_t value)
{
    if (value >= 1 && value <= mostWorkers) {
        return true;
    }
    std::cerr << "--" << name << ": found " << value << ", expected 1 to " << mostWorkers << '\n';
    return false;
}

/// Each connection takes two descriptors; the usual soft limit of 1024 would be reached at about 500 connections.
void raiseFileLimit()
{
    rlimit limit {};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

Sapphire::Result<void> addLinksFromFile(Sapphire::FaultProxyServer &proxy, const std::string &path)
{
    using namespace Sapphire;
    std::ifstream file(path);
    if (!file) {
        return fail(ErrorCode::NotFound, "cannot read the file");
    }
    const std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    BOOST_LEAF_AUTO(links, parseLinks(text));
    return proxy.engine().addLinks(links);
}

int run(const sigset_t &signals)
{
    using namespace Sapphire;
    Outcome<std::unique_ptr<FaultProxyServer>> proxy = capture([&] {
        return FaultProxyServer::create(FLAGS_control, FLAGS_workers);
    });
    if (!proxy) {
        std::cerr << "--control: " << proxy.error().message << '\n';
        return usageError;
    }
    const Outcome<void> added = capture([&]() -> Result<void> {
        return FLAGS_settings.empty() ? Result<void>() : addLinksFromFile(*proxy.value(), FLAGS_settings);
    });
    if (!added) {
        std::cerr << "--settings " << FLAGS_settings << ": " << added.error().message << '\n';
        return usageError;
    }
    std::cout << "listening on " << proxy.value()->controlAddress() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}

} // namespace

DEFINE_validator(workers, &isWorkerCount);

int main(int argc, char *argv[])
{
    gflags::SetUsageMessage("A TCP proxy with many links whose faults a test sets while it runs");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc > 1) {
        std::cerr << "unexpected argument \"" << argv[1] << "\"\n";
        return usageError;
    }
    raiseFileLimit();
    // Blocked before the first thread starts, so that all threads leave the signals to sigwait().
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return run(signals);
}
