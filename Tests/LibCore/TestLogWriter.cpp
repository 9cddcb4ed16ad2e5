#include <LibCore/BootClock.h>
#include <LibCore/LogWriter.h>

#include <doctest/doctest.h>

#include <array>
#include <string>

#include <fcntl.h>
#include <unistd.h>

using namespace Sapphire;

namespace {

/// A pipe that is read only when the test calls readWaiting().
class Pipe
{
public:
    Pipe()
    {
        REQUIRE(::pipe(m_ends.data()) == 0);
        REQUIRE(::fcntl(m_ends[0], F_SETFL, O_NONBLOCK) == 0);
    }
    ~Pipe()
    {
        closeReader();
        ::close(m_ends[1]);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    int writeEnd() const
    {
        return m_ends[1];
    }
    void closeReader()
    {
        if (m_ends[0] >= 0) {
            ::close(m_ends[0]);
            m_ends[0] = -1;
        }
    }
    std::string readWaiting() const
    {
        std::string text;
        std::array<char, 4'096> buffer {};
        ssize_t count = 0;
        while ((count = ::read(m_ends[0], buffer.data(), buffer.size())) > 0) {
            text.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

private:
    std::array<int, 2> m_ends { -1, -1 };
};

LogWriterSettings quickSettings()
{
    LogWriterSettings settings;
    settings.batchInterval = Milliseconds(1);
    return settings;
}

Deadline soon()
{
    return Deadline::after(BootClock().now(), std::chrono::seconds(5));
}

} // namespace

TEST_CASE("LogWriter never waits for a blocked reader and counts the lines that it drops")
{
    // Guards against requests that block because nobody reads standard output.
    const Pipe pipe;
    LogWriterSettings settings = quickSettings();
    settings.maxQueuedLines = 64;
    LogWriter writer(pipe.writeEnd(), settings);
    const std::string line(1'000, 'x');
    const BootClock clock;
    const TimePoint begin = clock.now();
    constexpr int lines = 2'000;
    for (int number = 0; number < lines; ++number) {
        writer.write(Severity::Warning, line, begin);
    }
    CHECK(clock.now() - begin < std::chrono::seconds(1));
    // A pipe holds 64 kB, far less than all lines.
    CHECK(writer.droppedLines() > 1'000);
}

TEST_CASE("LogWriter logs how many lines it dropped")
{
    // Guards against gaps in the log that nobody notices.
    const Pipe pipe;
    LogWriterSettings settings = quickSettings();
    settings.burstLines = 2;
    settings.linesPerSecond = 1;
    LogWriter writer(pipe.writeEnd(), settings);
    const TimePoint now = BootClock().now();
    for (int number = 0; number < 10; ++number) {
        writer.write(Severity::Info, "line", now);
    }
    writer.flush(soon());
    CHECK(writer.droppedLines() == 8);
    const std::string text = pipe.readWaiting();
    CHECK(text.find("log-lines-dropped") != std::string::npos);
    CHECK(text.find(R"("lines":"8")") != std::string::npos);
}

TEST_CASE("LogWriter writes warnings when the rate limit is exceeded")
{
    // Guards against a flood of request lines that hides the cause of an outage.
    const Pipe pipe;
    LogWriterSettings settings = quickSettings();
    settings.burstLines = 1;
    settings.linesPerSecond = 1;
    LogWriter writer(pipe.writeEnd(), settings);
    const TimePoint now = BootClock().now();
    writer.write(Severity::Info, "first", now);
    writer.write(Severity::Info, "surplus line", now);
    writer.write(Severity::Warning, "important", now);
    writer.flush(soon());
    const std::string text = pipe.readWaiting();
    CHECK(text.find("first") != std::string::npos);
    CHECK(text.find("surplus line") == std::string::npos);
    CHECK(text.find("important") != std::string::npos);
}

TEST_CASE("LogWriter flushes a line that was popped but not written yet")
{
    // Guards against a process whose last lines are lost when it exits.
    const Pipe pipe;
    LogWriterSettings settings;
    settings.batchInterval = Milliseconds(100);
    LogWriter writer(pipe.writeEnd(), settings);
    writer.write(Severity::Info, "last line", BootClock().now());
    std::this_thread::sleep_for(Milliseconds(30));
    writer.flush(soon());
    CHECK(pipe.readWaiting().find("last line") != std::string::npos);
}

TEST_CASE("LogWriter can be destroyed while its reader is blocked")
{
    // Guards against a process that can't stop because of its log.
    const Pipe pipe;
    const BootClock clock;
    TimePoint begin {};
    {
        LogWriter writer(pipe.writeEnd(), quickSettings());
        const std::string line(1'000, 'x');
        for (int number = 0; number < 200; ++number) {
            writer.write(Severity::Warning, line, clock.now());
        }
        begin = clock.now();
    }
    CHECK(clock.now() - begin < std::chrono::seconds(2));
}
