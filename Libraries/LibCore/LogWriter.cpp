#include <LibCore/LogWriter.h>

#include <LibCore/BootClock.h>

#include <algorithm>
#include <cerrno>

#include <poll.h>
#include <unistd.h>

namespace Sapphire {

namespace {

// While the reader is blocked, poll() returns after this time, so that the thread notices when it has to end.
constexpr int pollMilliseconds = 100;
// Most bytes of one write(). A pipe that poll() reports as writable takes that many without blocking.
constexpr std::size_t maxWriteBytes = 4'096;
// Size at which a batch ends, so that memory stays bounded while lines arrive as fast as they are collected.
constexpr std::size_t maxBatchBytes = 65'536;
constexpr Milliseconds flushPollInterval { 5 };

} // namespace

LogWriter::LogWriter(int descriptor, LogWriterSettings settings)
    : m_descriptor(descriptor)
    , m_settings(settings)
    , m_lines(settings.maxQueuedLines)
    , m_tokens(settings.burstLines)
    , m_refilledAt(BootClock().now())
    , m_thread([this] {
        run();
    })
{
}

LogWriter::~LogWriter()
{
    m_isEnding = true;
    m_lines.close();
    m_thread.join();
}

void LogWriter::write(Severity severity, std::string line, TimePoint now)
{
    line += '\n';
    // Counted before the line can be popped, so that flush() never counts too few lines.
    ++m_unwritten;
    if (!mayWrite(severity, now) || !m_lines.tryPush(std::move(line))) {
        --m_unwritten;
        m_dropped.fetch_add(1, std::memory_order_relaxed);
    }
}

bool LogWriter::mayWrite(Severity severity, TimePoint now)
{
    if (severity >= Severity::Warning) {
        return true;
    }
    const std::lock_guard guard(m_rateMutex);
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - m_refilledAt).count());
    m_tokens = std::min(m_settings.burstLines, m_tokens + seconds * m_settings.linesPerSecond);
    m_refilledAt = now;
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void LogWriter::run()
{
    constexpr Microseconds longestWait = std::chrono::hours(1);
    while (true) {
        std::optional<std::string> line = m_lines.pop(longestWait);
        if (!line && m_lines.isClosed()) {
            return;
        }
        if (!m_isEnding) {
            std::this_thread::sleep_for(m_settings.batchInterval);
        }
        std::size_t lines = 0;
        std::string batch = takeDropReport();
        while (line) {
            batch += *line;
            ++lines;
            line = batch.size() < maxBatchBytes ? m_lines.pop(Microseconds::zero()) : std::nullopt;
        }
        const bool isWritten = writeAll(batch);
        m_unwritten -= lines;
        if (!isWritten) {
            return;
        }
    }
}

bool LogWriter::writeAll(std::string_view bytes)
{
    while (!bytes.empty()) {
        pollfd entry { m_descriptor, POLLOUT, 0 };
        const int count = ::poll(&entry, 1, pollMilliseconds);
        if (count == 0 && m_isEnding) {
            return false;
        }
        if (count <= 0) {
            continue;
        }
        const ssize_t written = ::write(m_descriptor, bytes.data(), std::min(bytes.size(), maxWriteBytes));
        if (written < 0 && errno != EINTR && errno != EAGAIN) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(written, 0)));
    }
    return true;
}

std::string LogWriter::takeDropReport()
{
    const std::uint64_t dropped = droppedLines();
    if (dropped == m_reportedDropped) {
        return {};
    }
    const std::uint64_t count = dropped - m_reportedDropped;
    m_reportedDropped = dropped;
    return formatEvent(logLinesDropped, { { "lines", count } }) + "\n";
}

void LogWriter::flush(Deadline deadline)
{
    const BootClock clock;
    while (m_unwritten > 0 && !deadline.hasPassed(clock.now())) {
        std::this_thread::sleep_for(flushPollInterval);
    }
}

} // namespace Sapphire
