#pragma once

#include <LibCore/BoundedRing.h>
#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibCore/TraceContext.h>

#include <atomic>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Sapphire {

enum class SpanKind {
    Internal = 1,
    Server = 2,
    Client = 3,
};

class Tracer;

/// One span of a trace. When it is destroyed, it ends and is handed to the export thread.
class Span
{
public:
    Span(Span &&other) noexcept;
    Span &operator=(Span &&) = delete;
    Span(const Span &) = delete;
    Span &operator=(const Span &) = delete;
    ~Span();

    const TraceContext &context() const
    {
        return m_context;
    }
    void setAttribute(std::string name, std::string value);
    void setFailed(std::string reason);

private:
    friend class Tracer;
    Span(Tracer *tracer, std::string name, SpanKind kind, TraceContext context, std::string parentSpanId,
         Microseconds start);

    Tracer *m_tracer;
    std::string m_name;
    SpanKind m_kind;
    TraceContext m_context;
    std::string m_parentSpanId;
    Microseconds m_start;
    std::vector<std::pair<std::string, std::string>> m_attributes;
    std::string m_failure;
};

/// Creates spans and writes them to a file as OTLP JSON, one export request per line, from a separate thread.
/// Spans are dropped and counted when the ring to that thread is full.
class Tracer
{
public:
    /// With an empty file name, the tracer creates trace contexts but writes nothing.
    /// Fails with Unavailable if the file can't be opened.
    [[nodiscard]] static Result<std::unique_ptr<Tracer>> create(const std::string &file, const std::string &serviceName,
                                                                const Clock &clock);
    ~Tracer();

    Span startSpan(std::string name, SpanKind kind, const std::optional<TraceContext> &parent);
    std::uint64_t droppedSpans() const
    {
        return m_dropped;
    }

private:
    friend class Span;
    Tracer(std::string serviceName, const Clock &clock);

    void finish(const Span &span);
    void exportSpans();

    std::string m_serviceName;
    const Clock &m_clock;
    std::ofstream m_file;
    BoundedRing<std::string> m_ring;
    std::atomic<std::uint64_t> m_dropped { 0 };
    std::mutex m_randomMutex;
    RandomSource m_random;
    std::thread m_thread;
};

} // namespace Sapphire
