#pragma once

#include <LibCore/BoundedRing.h>
#include <LibCore/EventLog.h>

#include <atomic>
#include <string>
#include <thread>

namespace Sapphire {

/// Limits on what a process may log.
struct LogWriterSettings
{
    std::size_t maxQueuedLines { 4'096 }; ///< Lines queued for a slow reader; further ones are dropped.
    double linesPerSecond { 400 }; ///< Rate limit for debug and info severity; lines beyond it are dropped.
    double burstLines { 2'000 };
    Milliseconds batchInterval { 100 }; ///< Time for which lines are collected and then written together.
};

/// Writes log lines to a file descriptor from a separate thread, so that a reader that is blocked never delays a
/// request. Lines beyond the limits are dropped, and their number is logged.
class LogWriter
{
public:
    LogWriter(int descriptor, LogWriterSettings settings);
    /// Writes the queued lines, but gives up once the reader takes nothing for 100 ms.
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// Never waits for the reader. May be called from any thread.
    void write(Severity severity, std::string line, TimePoint now);
    /// Waits until all lines are written, at most until the deadline.
    void flush(Deadline deadline);
    std::uint64_t droppedLines() const
    {
        return m_dropped.load(std::memory_order_relaxed);
    }

private:
    bool mayWrite(Severity severity, TimePoint now);
    void run();
    bool writeAll(std::string_view bytes);
    std::string takeDropReport();

    int m_descriptor;
    LogWriterSettings m_settings;
    BoundedRing<std::string> m_lines;
    std::mutex m_rateMutex;
    double m_tokens;
    TimePoint m_refilledAt {};
    std::atomic<std::uint64_t> m_dropped { 0 };
    std::uint64_t m_reportedDropped { 0 };
    std::atomic<std::size_t> m_unwritten { 0 }; ///< Lines that are queued or being written.
    std::atomic<bool> m_isEnding { false };
    std::thread m_thread;
};

} // namespace Sapphire
