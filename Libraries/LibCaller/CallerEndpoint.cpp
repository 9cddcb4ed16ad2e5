#include <LibCaller/CallerEndpoint.h>

#include <LibCaller/CallerEvents.h>
#include <LibCaller/HttpAnswerSink.h>
#include <LibCaller/HttpBodySource.h>
#include <LibCaller/RefusalResponse.h>
#include <LibCaller/ServiceCheck.h>
#include <LibCaller/VmListJson.h>
#include <LibRequest/IssuedRequestId.h>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace Sapphire {

namespace {

const std::string lookUpPath = "/v1/lookup";
const std::string servicesPath = "/v1/services/";
const std::string requestsPath = "/v1/requests/";
constexpr Milliseconds stateTimeout { 3'000 };
constexpr std::int64_t longestTimeoutMilliseconds = 600'000;
// Time after the deadline before the connection is shut down, so that a caller that sends its body until the deadline
// still gets the refusal.
constexpr Milliseconds refusalGracePeriod { 2'000 };

/// Hop-by-hop headers and headers that this system sets itself.
constexpr std::array<const char *, 15> droppedHeaders {
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "request-timeout-ms",
    "te",
    "traceparent",
    "trailer",
    "transfer-encoding",
    "upgrade",
};

bool isDropped(const std::string &name)
{
    return std::any_of(droppedHeaders.begin(), droppedHeaders.end(),
                       [&](const char *dropped) {
                           return Poco::icompare(name, dropped) == 0;
                       })
        || Poco::icompare(name, 0, 9, "sapphire-") == 0;
}

/// Idempotent methods of RFC 9110.
bool isIdempotentMethod(const std::string &method)
{
    static constexpr std::array<const char *, 6> idempotentMethods {
        "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"
    };
    return std::find(idempotentMethods.begin(), idempotentMethods.end(), method) != idempotentMethods.end();
}

Refusal badRequest(const std::string &detail)
{
    return { RefusalReason::BadRequest, Verdict::NotRun, detail, {}, {} };
}

void sendJson(Poco::Net::HTTPServerResponse &response, const Poco::JSON::Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    response.setContentType("application/json");
    response.sendBuffer(text.str().data(), text.str().size());
}

} // namespace

CallerEndpoint::CallerEndpoint(Parts parts, Settings settings) : m_parts(parts), m_settings(std::move(settings))
{
}

void CallerEndpoint::answer(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                            const Poco::Net::StreamSocket &socket, ConnectionGuard::Watch &watch) const
{
    Call call { request, response, socket, watch };
    watch.setDeadline(Deadline::never());
    if (m_parts.serving.phase() != ServingState::Phase::Serving) {
        response.setKeepAlive(false);
    }
    const std::string &target = request.getURI();
    const std::string path = target.substr(0, target.find('?'));
    if (path == lookUpPath) {
        answerLookUp(call);
    } else if (path.starts_with(requestsPath)) {
        answerRequestState(call, path.substr(requestsPath.size()));
    } else if (path.starts_with(servicesPath)) {
        answerService(call, target.substr(servicesPath.size()));
    } else {
        refuse(call,
               { RefusalReason::NoSuchService,
                 Verdict::NotRun,
                 "no such path; use " + lookUpPath + ", " + servicesPath + " or " + requestsPath,
                 {},
                 {} },
               {});
    }
}

void CallerEndpoint::refuse(Call &call, Refusal refusal, const CustomerId &customer) const
{
    const bool canAnotherVmHelp =
        refusal.reason == RefusalReason::NotFresh || refusal.reason == RefusalReason::Draining;
    if (canAnotherVmHelp) {
        refusal.alternatives = m_parts.lookUp.alternatives(customer);
    }
    // The unread rest of a body would be parsed as the next request.
    if (call.request.getChunkedTransferEncoding() || call.request.hasContentLength()) {
        call.response.setKeepAlive(false);
    }
    m_parts.metrics.counter("sapphire_refusals_total", "reason=\"" + std::string(nameOf(refusal.reason)) + "\"").add();
    sendRefusal(refusal, m_parts.clock.now(), call.response);
}

void CallerEndpoint::answerLookUp(Call &call) const
{
    CustomerId customer;
    if (call.request.has("Authorization")) {
        // A look-up succeeds even if the key is wrong or this VM can't check it: the returned VMs check the key.
        const auto checked = m_parts.keys.check(call.request.get("Authorization"), m_parts.clock.now());
        if (const auto *known = std::get_if<CustomerId>(&checked)) {
            customer = *known;
        }
    }
    std::string address = call.socket.peerAddress().host().toString();
    for (const auto &[name, value] : Poco::URI(call.request.getURI()).getQueryParameters()) {
        if (name == "client") {
            address = value;
        }
    }
    const LookUp::Answer answer = m_parts.lookUp.answer(customer, address);
    Poco::JSON::Object object;
    object.set("vms", vmListJson(answer.vms));
    object.set("alternatives", vmListJson(answer.alternatives));
    object.set("ttlMilliseconds", answer.timeToLive.count());
    object.set("requestIdPrefix", answer.requestIdPrefix);
    if (answer.callerRegion) {
        object.set("callerRegion", answer.callerRegion->text());
    }
    call.response.set("Cache-Control",
                      "max-age=" + std::to_string(std::chrono::floor<std::chrono::seconds>(answer.timeToLive).count()));
    m_parts.metrics.counter("sapphire_lookups_total").add();
    sendJson(call.response, object);
}

void CallerEndpoint::answerRequestState(Call &call, const std::string &id) const
{
    const TimePoint now = m_parts.clock.now();
    const auto checked = m_parts.keys.check(call.request.get("Authorization", ""), now);
    if (const auto *refusal = std::get_if<Refusal>(&checked)) {
        refuse(call, *refusal, {});
        return;
    }
    std::string decoded;
    Poco::URI::decode(id, decoded);
    if (!isValidRequestId(decoded)) {
        refuse(call, badRequest("the request id has invalid characters or is too long"), {});
        return;
    }
    const RequestRecord record =
        m_parts.states.find({ std::get<CustomerId>(checked), RequestId(decoded) }, Deadline::after(now, stateTimeout));
    Poco::JSON::Object object;
    object.set("id", decoded);
    object.set("state", std::string(nameOf(record.state)));
    object.set("vm", record.holder.vm.text());
    if (record.state == RequestState::Ran) {
        object.set("status", record.answer.status);
        object.set("target", record.answer.target.text());
        object.set("isAnswerKept", record.answer.isWhole);
    }
    sendJson(call.response, object);
}

std::variant<RequestHead, Refusal> CallerEndpoint::readHead(Call &call, const std::string &rest) const
{
    const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
    RequestHead head;
    head.service = ServiceId(rest.substr(0, end));
    head.path = rest.substr(end);
    if (head.path.empty() || head.path.front() != '/') {
        head.path.insert(0, "/");
    }
    const auto found = checkService(m_parts.configuration, head.service, m_parts.clock.now());
    if (const auto *refusal = std::get_if<Refusal>(&found)) {
        return *refusal;
    }
    const ServiceRecord &service = std::get<ServiceRecord>(found);
    if (!service.isOpenToAll) {
        const auto checked = m_parts.keys.check(call.request.get("Authorization", ""), m_parts.clock.now());
        if (const auto *refusal = std::get_if<Refusal>(&checked)) {
            return *refusal;
        }
        head.customer = std::get<CustomerId>(checked);
    }
    if (std::optional<Refusal> refusal = readOptions(call, service, head)) {
        return *refusal;
    }
    for (const auto &[name, value] : call.request) {
        if (!isDropped(name)) {
            head.headers.push_back({ name, value });
        }
    }
    return head;
}

std::optional<Refusal> CallerEndpoint::readOptions(Call &call, const ServiceRecord &service, RequestHead &head) const
{
    const Poco::Net::HTTPServerRequest &request = call.request;
    head.method = request.getMethod();
    head.isIdempotent = isIdempotentMethod(head.method);
    Milliseconds timeout = service.defaultTimeout;
    if (request.has("Request-Timeout-Ms")) {
        Poco::Int64 wanted = 0;
        if (!Poco::NumberParser::tryParse64(request.get("Request-Timeout-Ms"), wanted) || wanted < 1
            || wanted > longestTimeoutMilliseconds) {
            return badRequest("Request-Timeout-Ms must be a whole number from 1 to "
                              + std::to_string(longestTimeoutMilliseconds));
        }
        timeout = Milliseconds(wanted);
    }
    head.deadline = Deadline::after(m_parts.clock.now(), timeout);
    head.trace = TraceContext::parse(request.get("traceparent", ""));
    const std::string id = request.get("Idempotency-Key", "");
    if (!id.empty() && !isValidRequestId(id)) {
        return badRequest("Idempotency-Key must be 1 to 200 printable characters without space, '/' and '\"'");
    }
    if (!head.isIdempotent) {
        if (id.empty()) {
            return badRequest(head.method + " needs an Idempotency-Key header, so that it runs at most once");
        }
        if (head.customer.isEmpty()) {
            return badRequest(head.method + " is not allowed on a service that is open to all");
        }
        head.id = RequestId(id);
    }
    if (request.hasContentLength() && !request.getChunkedTransferEncoding()) {
        head.bodyBytes = static_cast<std::uint64_t>(request.getContentLength64());
    } else if (!request.getChunkedTransferEncoding()) {
        head.bodyBytes = 0;
    }
    return std::nullopt;
}

void CallerEndpoint::answerService(Call &call, const std::string &rest) const
{
    std::variant<RequestHead, Refusal> head = readHead(call, rest);
    if (auto *refusal = std::get_if<Refusal>(&head)) {
        if (call.request.has("Idempotency-Key")) {
            // An earlier attempt with this id may have run. Its state is not looked up, since the customer may be
            // unknown.
            refusal->verdict = Verdict::MayHaveRun;
            refusal->detail += "; this attempt has not run";
        }
        refuse(call, std::move(*refusal), {});
        return;
    }
    run(call, std::move(std::get<RequestHead>(head)));
}

void CallerEndpoint::run(Call &call, RequestHead head) const
{
    const TimePoint startedAt = m_parts.clock.now();
    Span span = m_parts.tracer.startSpan("entry " + head.service.text(), SpanKind::Server, head.trace);
    head.trace = span.context();
    if (call.request.getExpectContinue()) {
        call.response.sendContinue();
    }
    call.watch.setDeadline(Deadline(head.deadline.at() + refusalGracePeriod));
    HttpBodySource body(call.request, call.socket, m_settings.mostBodyBytes);
    HttpAnswerSink sink(call.response, call.socket, m_settings.vm, head.method == "HEAD");
    const ExchangeReport report = m_parts.entry.handleEntry(head, body, sink);
    call.watch.setDeadline(Deadline::never());
    if (report.refusal) {
        span.setFailed(std::string(nameOf(report.refusal->reason)));
        span.setAttribute("sapphire.verdict", std::string(nameOf(report.refusal->verdict)));
    }
    recordMetrics(head, report, startedAt);
    if (report.refusal && report.isAnswerStarted) {
        logEvent(
            CallerEvents::answerCut,
            { { "service", head.service }, { "reason", nameOf(report.refusal->reason) }, { "requestId", head.id } });
        sink.abort();
    } else if (report.refusal) {
        refuse(call, *report.refusal, head.customer);
    } else if (!body.isAtEnd()) {
        call.response.setKeepAlive(false);
    }
}

void CallerEndpoint::recordMetrics(const RequestHead &head, const ExchangeReport &report, TimePoint startedAt) const
{
    const std::string service = "service=\"" + head.service.text() + "\"";
    const std::string labels = service + ",customer=\"" + head.customer.text() + "\",verdict=\""
        + std::string(nameOf(report.verdict())) + "\"";
    m_parts.metrics.counter("sapphire_requests_total", labels).add();
    if (!report.refusal) {
        m_parts.metrics.histogram("sapphire_request_seconds", service).record(m_parts.clock.now() - startedAt);
    }
}

} // namespace Sapphire
