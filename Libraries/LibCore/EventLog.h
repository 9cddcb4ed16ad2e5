#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/StrongId.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace Sapphire {

enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
};

/// A kind of log event. Numbers are listed in docs/events.md and never reused.
struct EventType
{
    int number;
    std::string_view name;
    Severity severity;
};

/// A named value of a log event.
class EventField
{
public:
    EventField(std::string_view name, std::string value) : m_name(name), m_value(std::move(value))
    {
    }
    EventField(std::string_view name, std::string_view value) : m_name(name), m_value(value)
    {
    }
    EventField(std::string_view name, const char *value) : m_name(name), m_value(value)
    {
    }
    template<typename Tag>
    EventField(std::string_view name, const StrongId<Tag> &value) : m_name(name), m_value(value.text())
    {
    }
    template<typename Tag, typename Number>
    EventField(std::string_view name, StrongNumber<Tag, Number> value)
        : m_name(name), m_value(std::to_string(value.value()))
    {
    }
    template<typename Number>
    requires std::is_arithmetic_v<Number> EventField(std::string_view name, Number value)
        : m_name(name), m_value(std::to_string(value))
    {
    }

    std::string_view name() const
    {
        return m_name;
    }
    const std::string &value() const
    {
        return m_value;
    }

private:
    std::string_view m_name;
    std::string m_value;
};

/// Settings of the process's log, applied once at start.
struct EventLogSettings
{
    /// Empty for standard error.
    std::string file;
    Severity least { Severity::Info };
    /// Writes to standard output instead, from a separate thread; drops lines rather than wait for a slow reader.
    bool isStandardOutput { false };
};

void configureEventLog(const EventLogSettings &settings);
/// Waits until the lines logged so far are written to standard output, at most until the deadline.
void flushEventLog(Deadline deadline);

inline constexpr EventType logLinesDropped { 1000, "log-lines-dropped", Severity::Warning };

/// Returns the event as a line of JSON, without the line break.
std::string formatEvent(const EventType &type, std::initializer_list<EventField> fields);
/// Writes one event as a line of JSON. May be called from any thread.
void logEvent(const EventType &type, std::initializer_list<EventField> fields);

/// Returns the text as a quoted JSON string.
std::string quoteJson(std::string_view text);

} // namespace Sapphire
