#pragma once

#include <LibCore/BoundedRing.h>
#include <LibCore/EventLog.h>

#include <atomic>
#include <string>
#include <thread>

namespace Sapphire {

/// How much a process may write.
struct LogWriterSettings
{
    std::size_t waitingLines { 4'096 }; ///< Lines that wait for a slow reader; further ones are dropped.
    double linesPerSecond { 400 }; ///< Of debug and info severity; further ones are dropped.
    double burstLines { 2'000 };
    Milliseconds batchTime { 100 }; ///< For which lines are collected before they are written together.
};

/// Writes lines to a descriptor on a thread of its own, so that a reader that is stuck never holds up a request. Lines
/// that are too many are dropped and counted in a line of their own.
class LogWriter
{
public:
    LogWriter(int descriptor, LogWriterSettings settings);
    /// Writes what is waiting, but for a stuck reader no longer than a batch time.
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// Never waits. Any thread may call it.
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
    std::string takeDroppedLine();

    int m_descriptor;
    LogWriterSettings m_settings;
    BoundedRing<std::string> m_lines;
    std::mutex m_rateMutex;
    double m_tokens;
    TimePoint m_refilledAt {};
    std::atomic<std::uint64_t> m_dropped { 0 };
    std::uint64_t m_reportedDropped { 0 };
    std::atomic<std::size_t> m_unwritten { 0 }; ///< Lines that are waiting or being written.
    std::atomic<bool> m_isEnding { false };
    std::thread m_thread;
};

} // namespace Sapphire
