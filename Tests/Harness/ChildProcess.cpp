#include <Harness/ChildProcess.h>

#include <Harness/ChildStarter.h>
#include <Harness/WaitFor.h>

#include <cerrno>
#include <csignal>
#include <utility>

#include <sys/wait.h>

namespace Sapphire {

ChildProcess::ChildProcess(pid_t id, std::filesystem::path outputFile, std::filesystem::path errorFile)
    : m_id(id), m_outputFile(std::move(outputFile)), m_errorFile(std::move(errorFile))
{
}

Result<std::unique_ptr<ChildProcess>> ChildProcess::create(const std::string &program,
                                                           const std::vector<std::string> &arguments,
                                                           const ScratchFolder &folder, const std::string &name)
{
    const bool isPath = program.find('/') != std::string::npos;
    const std::string path = isPath ? program : std::string(SAPPHIRE_PROGRAM_FOLDER) + "/" + program;
    const std::filesystem::path outputFile = folder.path() / (name + ".out");
    const std::filesystem::path errorFile = folder.path() / (name + ".err");
    BOOST_LEAF_AUTO(id, startChild({ path, arguments, outputFile.string(), errorFile.string() }));
    return std::unique_ptr<ChildProcess>(new ChildProcess(id, outputFile, errorFile));
}

ChildProcess::~ChildProcess()
{
    kill();
}

pid_t ChildProcess::id() const
{
    return m_id;
}

void ChildProcess::kill()
{
    send(SIGKILL);
    reap(0);
}

void ChildProcess::terminate()
{
    send(SIGTERM);
}

void ChildProcess::stop()
{
    send(SIGSTOP);
}

void ChildProcess::resume()
{
    send(SIGCONT);
}

std::optional<ExitStatus> ChildProcess::wait(Deadline deadline)
{
    const bool hasEnded = waitFor(
        [this] {
            return !isRunning();
        },
        deadline);
    return hasEnded ? m_status : std::nullopt;
}

bool ChildProcess::isRunning()
{
    reap(WNOHANG);
    return !m_status.has_value();
}

std::string ChildProcess::output() const
{
    return readFile(m_outputFile);
}

std::string ChildProcess::errorOutput() const
{
    return readFile(m_errorFile);
}

void ChildProcess::send(int signal)
{
    if (isRunning()) {
        ::kill(m_id, signal);
    }
}

void ChildProcess::reap(int options)
{
    if (m_status) {
        return;
    }
    int status = 0;
    pid_t result = 0;
    do {
        result = ::waitpid(m_id, &status, options);
    } while (result < 0 && errno == EINTR);
    if (result != m_id) {
        return;
    }
    if (WIFSIGNALED(status)) {
        m_status = ExitStatus { 0, WTERMSIG(status) };
    } else {
        m_status = ExitStatus { WEXITSTATUS(status), 0 };
    }
}

} // namespace Sapphire
