#include <LibCore/Tracer.h>

#include <LibCore/EventLog.h>

namespace Sapphire {

namespace {

constexpr std::size_t ringCapacity = 4096;
constexpr Milliseconds longestWait { 200 };
constexpr int otlpStatusError = 2;

std::string attributeJson(const std::string &name, const std::string &value)
{
    return "{\"key\":" + quoteJson(name) + ",\"value\":{\"stringValue\":" + quoteJson(value) + "}}";
}

std::string nanoseconds(Microseconds time)
{
    return "\"" + std::to_string(time.count()) + "000\"";
}

} // namespace

Span::Span(Tracer *tracer, std::string name, SpanKind kind, TraceContext context, std::string parentSpanId,
           Microseconds start)
    : m_tracer(tracer)
    , m_name(std::move(name))
    , m_kind(kind)
    , m_context(std::move(context))
    , m_parentSpanId(std::move(parentSpanId))
    , m_start(start)
{
}

Span::Span(Span &&other) noexcept
    : m_tracer(std::exchange(other.m_tracer, nullptr))
    , m_name(std::move(other.m_name))
    , m_kind(other.m_kind)
    , m_context(std::move(other.m_context))
    , m_parentSpanId(std::move(other.m_parentSpanId))
    , m_start(other.m_start)
    , m_attributes(std::move(other.m_attributes))
    , m_failure(std::move(other.m_failure))
{
}

Span::~Span()
{
    if (m_tracer != nullptr) {
        m_tracer->finish(*this);
    }
}

void Span::setAttribute(std::string name, std::string value)
{
    m_attributes.emplace_back(std::move(name), std::move(value));
}

void Span::setFailed(std::string reason)
{
    m_failure = std::move(reason);
}

Tracer::Tracer(std::string serviceName, const Clock &clock)
    : m_serviceName(std::move(serviceName))
    , m_clock(clock)
    , m_ring(ringCapacity)
    , m_random(RandomSource::seededBySystem())
{
}

Result<std::unique_ptr<Tracer>> Tracer::create(const std::string &file, const std::string &serviceName,
                                               const Clock &clock)
{
    std::unique_ptr<Tracer> tracer(new Tracer(serviceName, clock));
    if (!file.empty()) {
        tracer->m_file.open(file, std::ios::app);
        if (!tracer->m_file) {
            return fail(ErrorCode::Unavailable, "trace file " + file + " can't be opened for writing");
        }
        tracer->m_thread = std::thread(&Tracer::exportSpans, tracer.get());
    }
    return tracer;
}

Tracer::~Tracer()
{
    m_ring.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

Span Tracer::startSpan(std::string name, SpanKind kind, const std::optional<TraceContext> &parent)
{
    const std::lock_guard guard(m_randomMutex);
    TraceContext context = parent ? parent->child(m_random) : TraceContext::create(m_random);
    return { this, std::move(name), kind, std::move(context), parent ? parent->spanId : "", m_clock.wallTime() };
}

void Tracer::finish(const Span &span)
{
    if (!m_thread.joinable() || !span.m_context.isSampled) {
        return;
    }
    std::string line =
        R"({"resourceSpans":[{"resource":{"attributes":[)" + attributeJson("service.name", m_serviceName);
    line +=
        R"(]},"scopeSpans":[{"scope":{"name":"sapphiredeck"},"spans":[{"traceId":)" + quoteJson(span.m_context.traceId);
    line += ",\"spanId\":" + quoteJson(span.m_context.spanId);
    if (!span.m_parentSpanId.empty()) {
        line += ",\"parentSpanId\":" + quoteJson(span.m_parentSpanId);
    }
    line += ",\"name\":" + quoteJson(span.m_name);
    line += ",\"kind\":" + std::to_string(static_cast<int>(span.m_kind));
    line += ",\"startTimeUnixNano\":" + nanoseconds(span.m_start);
    line += ",\"endTimeUnixNano\":" + nanoseconds(m_clock.wallTime());
    line += ",\"attributes\":[";
    const char *separator = "";
    for (const auto &[name, value] : span.m_attributes) {
        line += separator + attributeJson(name, value);
        separator = ",";
    }
    line += "]";
    if (!span.m_failure.empty()) {
        line += ",\"status\":{\"code\":" + std::to_string(otlpStatusError) + ",\"message\":" + quoteJson(span.m_failure)
            + "}";
    }
    line += "}]}]}]}";
    if (!m_ring.tryPush(std::move(line))) {
        ++m_dropped;
    }
}

void Tracer::exportSpans()
{
    while (true) {
        const std::optional<std::string> line = m_ring.pop(longestWait);
        if (line) {
            m_file << *line << '\n';
        } else {
            m_file.flush();
            if (m_ring.isClosed()) {
                return;
            }
        }
    }
}

} // namespace Sapphire
