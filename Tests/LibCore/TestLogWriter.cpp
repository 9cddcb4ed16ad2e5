#include <LibCore/BootClock.h>
#include <LibCore/LogWriter.h>

#include <doctest/doctest.h>

#include <array>
#include <string>

#include <fcntl.h>
#include <unistd.h>

using namespace Sapphire;

namespace {

/// A pipe whose reader reads only when the test says so.
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
    settings.batchTime = Milliseconds(1);
    return settings;
}

Deadline soon()
{
    return Deadline::after(BootClock().now(), std::chrono::seconds(5));
}

} // namespace

TEST_CASE("LogWriter never waits for a reader that is stuck, and counts what it drops")
{
    // Guards against requests that stand still because nobody reads standard output.
    const Pipe pipe;
    LogWriterSettings settings = quickSettings();
    settings.waitingLines = 64;
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

TEST_CASE("LogWriter says how many lines it dropped once the reader reads again")
{
    // Guards against a log that has gaps which nobody can see.
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

TEST_CASE("LogWriter writes warnings when the rate of lines is used up")
{
    // Guards against a flood of request lines that hides the reason of an outage.
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

TEST_CASE("LogWriter flushes a line that it has taken and not written yet")
{
    // Guards against a process whose last lines are lost when it exits.
    const Pipe pipe;
    LogWriterSettings settings;
    settings.batchTime = Milliseconds(100);
    LogWriter writer(pipe.writeEnd(), settings);
    writer.write(Severity::Info, "last words", BootClock().now());
    std::this_thread::sleep_for(Milliseconds(30));
    writer.flush(soon());
    CHECK(pipe.readWaiting().find("last words") != std::string::npos);
}

TEST_CASE("LogWriter ends while its reader is stuck")
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
