#include <LibDaemon/Daemon.h>
#include <LibDaemon/DaemonEvents.h>

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(settings, "", "JSON settings file of this VM");
DEFINE_bool(check, false, "check the settings and exit");

using namespace Sapphire;

namespace {

constexpr int exitUsage = 2;
constexpr int exitCannotStart = 1;
constexpr int exitRequestsCut = 3;

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

/// Waits until a stop signal arrives or the process is retired. Returns whether a signal arrived.
bool waitForEnd(const Daemon &daemon, const sigset_t &signals)
{
    const timespec interval { 0, 500'000'000 };
    while (!daemon.isRetired()) {
        if (sigtimedwait(&signals, nullptr, &interval) > 0) {
            return true;
        }
    }
    return false;
}

int run(const DaemonSettings &settings)
{
    const sigset_t signals = stopSignals();
    // Blocked before any thread starts, so that only this one receives them.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    while (true) {
        const Outcome<std::unique_ptr<Daemon>> daemon = capture([&] {
            return Daemon::create(settings);
        });
        if (!daemon) {
            std::cerr << "sapphired: " << daemon.error().message << '\n';
            return exitCannotStart;
        }
        const bool isSignalled = waitForEnd(*daemon.value(), signals);
        if (!isSignalled) {
            logEvent(DaemonEvents::renewed, { { "vm", settings.vm } });
        }
        const int cut = daemon.value()->stop([&] {
            const timespec noWait {};
            return sigtimedwait(&signals, nullptr, &noWait) > 0;
        });
        if (isSignalled) {
            return cut == 0 ? 0 : exitRequestsCut;
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("runs an entry VM of sapphiredeck\nusage: sapphired --settings FILE [--check]\n"
                            "Exit codes: 0 stopped as planned, 1 can't start, 2 wrong settings, 3 requests were cut");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const Outcome<DaemonSettings> settings = capture([] {
        return DaemonSettings::load(FLAGS_settings);
    });
    if (!settings) {
        std::cerr << "sapphired: the settings are wrong:\n" << settings.error().message << '\n';
        return exitUsage;
    }
    if (FLAGS_check) {
        std::cout << "the settings are right\n";
        return 0;
    }
    configureEventLog(settings.value().log);
    return run(settings.value());
}
