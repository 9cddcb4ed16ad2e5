#pragma once

#include <Harness/ScratchFolder.h>
#include <LibCore/Deadline.h>
#include <LibCore/Result.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace Sapphire {

/// How a process ended: by an exit code or by a signal; the other one is 0.
struct ExitStatus
{
    int code { 0 };
    int signal { 0 };

    friend bool operator==(const ExitStatus &, const ExitStatus &) = default;
};

/// A child process of a test. It is killed by the destructor, and by the kernel if the test's process dies.
class ChildProcess
{
public:
    /// Starts a program of the build, or the one at a path if the name contains a slash. Its standard output and error
    /// are appended to NAME.out and NAME.err in the folder. Fails with Unavailable if it cannot be run.
    [[nodiscard]] static Result<std::unique_ptr<ChildProcess>> create(const std::string &program,
                                                                      const std::vector<std::string> &arguments,
                                                                      const ScratchFolder &folder,
                                                                      const std::string &name);
    /// Kills the process if it still runs.
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t id() const;
    /// Sends SIGKILL and waits for the end.
    void kill();
    /// Sends SIGTERM. Does not wait.
    void terminate();
    /// Suspends the process with SIGSTOP until resume().
    void stop();
    void resume();
    /// Waits for the end; nothing if the process still runs at the deadline.
    std::optional<ExitStatus> wait(Deadline deadline);
    bool isRunning();

    std::string output() const;
    std::string errorOutput() const;

private:
    ChildProcess(pid_t id, std::filesystem::path outputFile, std::filesystem::path errorFile);

    void send(int signal);
    void reap(int options);

    pid_t m_id;
    std::filesystem::path m_outputFile;
    std::filesystem::path m_errorFile;
    std::optional<ExitStatus> m_status; ///< Set once the process was reaped; its id may be reused from then on.
};

} // namespace Sapphire
