#include <Harness/ChildStarter.h>

#include <LibCore/BoundedRing.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <future>
#include <memory>
#include <thread>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Sapphire {

namespace {

using Job = std::function<void()>;

constexpr std::size_t maxQueuedJobs = 1024;
constexpr std::chrono::hours idleInterval { 1 };
constexpr int startFailureExitCode = 127;
constexpr int firstInheritedFile = 3;
constexpr mode_t fileMode = 0644;

/// What the child needs, prepared before the fork, since the child may call only async-signal-safe functions.
struct PreparedStart
{
    explicit PreparedStart(const ChildStart &start) : program(start.program), outputFile(start.outputFile)
    {
        errorFile = start.errorFile;
        argumentTexts = start.arguments;
        argumentTexts.insert(argumentTexts.begin(), program);
        for (std::string &text : argumentTexts) {
            arguments.push_back(text.data());
        }
        arguments.push_back(nullptr);
    }

    std::string program;
    std::string outputFile;
    std::string errorFile;
    std::vector<std::string> argumentTexts;
    std::vector<char *> arguments;
    pid_t parent { ::getpid() };
};

bool redirect(const char *path, int flags, int target)
{
    const int file = ::open(path, flags | O_CLOEXEC, fileMode);
    return file >= 0 && ::dup2(file, target) >= 0;
}

[[noreturn]] void runChild(const PreparedStart &prepared, int errorPipe)
{
    sigset_t none;
    ::sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const bool isOrphan = ::getppid() != prepared.parent;
    const bool isReady = !isOrphan && redirect("/dev/null", O_RDONLY, STDIN_FILENO)
        && redirect(prepared.outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, STDOUT_FILENO)
        && redirect(prepared.errorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, STDERR_FILENO);
    if (isReady) {
        // Otherwise the child would inherit the parent's listening sockets.
        ::close_range(firstInheritedFile, ~0U, CLOSE_RANGE_CLOEXEC);
        ::execv(prepared.program.c_str(), prepared.arguments.data());
    }
    const int error = errno;
    [[maybe_unused]] const ssize_t ignored = ::write(errorPipe, &error, sizeof(error));
    ::_exit(startFailureExitCode);
}

/// Returns the id, or the negative error number.
pid_t forkChild(const ChildStart &start)
{
    const PreparedStart prepared(start);
    std::array<int, 2> pipe {};
    if (::pipe2(pipe.data(), O_CLOEXEC) != 0) {
        return -errno;
    }
    const pid_t child = ::fork();
    if (child == 0) {
        runChild(prepared, pipe[1]);
    }
    int error = child < 0 ? errno : 0;
    ::close(pipe[1]);
    if (child > 0 && ::read(pipe[0], &error, sizeof(error)) > 0) {
        ::waitpid(child, nullptr, 0);
    }
    ::close(pipe[0]);
    return error != 0 ? -error : child;
}

BoundedRing<Job> &jobs()
{
    // Never destroyed: the thread uses it until the process ends.
    static BoundedRing<Job> *ring = [] {
        auto *created = new BoundedRing<Job>(maxQueuedJobs);
        std::thread([created] {
            for (;;) {
                if (std::optional<Job> job = created->pop(idleInterval)) {
                    (*job)();
                }
            }
        }).detach();
        return created;
    }();
    return *ring;
}

} // namespace

Result<pid_t> startChild(const ChildStart &start)
{
    auto promise = std::make_shared<std::promise<pid_t>>();
    std::future<pid_t> started = promise->get_future();
    const bool isQueued = jobs().tryPush([promise, start] {
        promise->set_value(forkChild(start));
    });
    const pid_t child = isQueued ? started.get() : -EAGAIN;
    if (child < 0) {
        return fail(ErrorCode::Unavailable, "cannot run " + start.program + ": " + std::strerror(-child));
    }
    return child;
}

} // namespace Sapphire
