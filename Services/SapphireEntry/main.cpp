#include <LibEntry/EntryDaemon.h>
#include <LibEntry/EntryEvents.h>
#include <platform/NodeFile.h>

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

DEFINE_string(settings, "",
              "the platform's settings file; default: the one that the platform's environment variable names");
DEFINE_bool(check, false, "check the settings and exit");

using namespace Sapphire;

namespace {

constexpr int exitUsage = 2;
constexpr int exitCannotStart = 1;
constexpr Milliseconds logFlushTime { 200 };

std::string settingsPath()
{
    if (!FLAGS_settings.empty()) {
        return FLAGS_settings;
    }
    const char *const path = std::getenv(Platform::settingsVariable);
    return path != nullptr ? path : "";
}

/// The settings file and the text that was read from it last.
class SettingsFile
{
public:
    explicit SettingsFile(std::string path) : m_path(std::move(path))
    {
    }

    /// Fails with NotFound if the file can't be opened, and with InvalidArgument and a line per fault.
    Result<EntrySettings> read()
    {
        BOOST_LEAF_ASSIGN(m_text, readText());
        return Platform::readNodeFile(m_text);
    }
    /// Returns whether the text differs from the one read last. A file that can't be read counts as unchanged.
    bool hasChanged() const
    {
        const Outcome<std::string> text = capture([this] {
            return readText();
        });
        return text && text.value() != m_text;
    }

private:
    Result<std::string> readText() const
    {
        std::ifstream file(m_path);
        if (!file) {
            return fail(ErrorCode::NotFound, "can't read the settings file \"" + m_path + "\"");
        }
        return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }

    std::string m_path;
    std::string m_text;
};

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

void reload(SettingsFile &file, EntryDaemon &daemon)
{
    const Outcome<EntrySettings> settings = capture([&] {
        return file.read();
    });
    if (!settings) {
        // Keep the settings that are in force.
        logEvent(EntryEvents::settingsRejected, { { "reason", settings.error().message } });
        return;
    }
    daemon.reload(settings.value());
}

/// Handles signals until the process ends. Polls the settings file too, since it may change without a signal.
void waitForSignals(const sigset_t &signals, SettingsFile &file, EntryDaemon &daemon)
{
    const timespec interval { 1, 0 };
    while (true) {
        const int signal = sigtimedwait(&signals, nullptr, &interval);
        if (signal == SIGTERM || signal == SIGINT) {
            daemon.stop();
        } else if (signal == SIGHUP || file.hasChanged()) {
            reload(file, daemon);
        }
    }
}

int run(const EntrySettings &settings, SettingsFile &file)
{
    const sigset_t signals = handledSignals();
    // Blocked before any thread starts, so that only the signal thread receives them.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    configureEventLog({ {}, Severity::Info, true });
    const BootClock clock;
    const Outcome<std::unique_ptr<Platform::StoreClient>> client = capture([&] {
        return Platform::StoreClient::create(settings.platformAddress.text());
    });
    if (!client) {
        std::cerr << "sapphire-entry: " << client.error().message << '\n';
        return exitUsage;
    }
    const Outcome<std::unique_ptr<EntryDaemon>> daemon = capture([&] {
        return EntryDaemon::create(settings, Platform::createAdapter(*client.value(), clock));
    });
    if (!daemon) {
        std::cerr << "sapphire-entry: " << daemon.error().message << '\n';
        return exitCannotStart;
    }
    std::thread([&] {
        waitForSignals(signals, file, *daemon.value());
    }).detach();
    daemon.value()->run();
    flushEventLog(Deadline::after(clock.now(), logFlushTime));
    // Skip the destructors: other threads may wait for the platform for seconds, and hold nothing that has to be saved.
    std::_Exit(0);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("runs an entry VM of sapphiredeck on a platform that stores the rules\n"
                            "usage: sapphire-entry [--settings FILE] [--check]\n"
                            "Exit codes: 0 stopped as planned, 1 can't start, 2 wrong settings");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    SettingsFile file(settingsPath());
    const Outcome<EntrySettings> settings = capture([&file] {
        return file.read();
    });
    if (!settings) {
        std::cerr << "sapphire-entry: the settings are wrong:\n" << settings.error().message << '\n';
        return exitUsage;
    }
    if (FLAGS_check) {
        std::cout << "the settings are right\n";
        return 0;
    }
    return run(settings.value(), file);
}
