#include <LibCore/EventLog.h>

#include <LibCore/BootClock.h>
#include <LibCore/LogWriter.h>

#include <easylogging++.h>

#include <array>
#include <atomic>
#include <memory>

#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace Sapphire {

namespace {

std::atomic<Severity> minimumSeverity { Severity::Info };

/// Null unless the log goes to standard output.
std::unique_ptr<LogWriter> &standardOutputWriter()
{
    static std::unique_ptr<LogWriter> writer;
    return writer;
}

std::string_view nameOf(Severity severity)
{
    static constexpr std::array<std::string_view, 4> names { "debug", "info", "warning", "error" };
    return names.at(static_cast<std::size_t>(severity));
}

} // namespace

void configureEventLog(const EventLogSettings &settings)
{
    minimumSeverity = settings.least;
    if (settings.isStandardOutput) {
        standardOutputWriter() = std::make_unique<LogWriter>(STDOUT_FILENO, LogWriterSettings {});
        return;
    }
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    configuration.setGlobally(el::ConfigurationType::ToFile, "true");
    configuration.setGlobally(el::ConfigurationType::Filename, settings.file.empty() ? "/dev/stderr" : settings.file);
    configuration.setGlobally(el::ConfigurationType::LogFlushThreshold, "1");
    el::Loggers::reconfigureLogger("default", configuration);
}

void flushEventLog(Deadline deadline)
{
    if (standardOutputWriter()) {
        standardOutputWriter()->flush(deadline);
    }
}

std::string quoteJson(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string quoted = "\"";
    for (const char character : text) {
        const auto code = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            quoted += '\\';
            quoted += character;
        } else if (code < 0x20U) {
            quoted += "\\u00";
            quoted += digits[code >> 4U];
            quoted += digits[code & 0x0fU];
        } else {
            quoted += character;
        }
    }
    quoted += '"';
    return quoted;
}

std::string formatEvent(const EventType &type, std::initializer_list<EventField> fields)
{
    std::string line = "{\"timeMicroseconds\":" + std::to_string(BootClock().wallTime().count());
    line += ",\"event\":" + std::to_string(type.number);
    line += ",\"name\":" + quoteJson(type.name);
    line += ",\"severity\":" + quoteJson(nameOf(type.severity));
    for (const EventField &field : fields) {
        line += "," + quoteJson(field.name()) + ":" + quoteJson(field.value());
    }
    return line + "}";
}

void logEvent(const EventType &type, std::initializer_list<EventField> fields)
{
    if (type.severity < minimumSeverity.load(std::memory_order_relaxed)) {
        return;
    }
    const std::string line = formatEvent(type, fields);
    if (standardOutputWriter()) {
        standardOutputWriter()->write(type.severity, line, BootClock().now());
        return;
    }
    switch (type.severity) {
    case Severity::Debug:
    case Severity::Info:
        LOG(INFO) << line;
        break;
    case Severity::Warning:
        LOG(WARNING) << line;
        break;
    case Severity::Error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace Sapphire
