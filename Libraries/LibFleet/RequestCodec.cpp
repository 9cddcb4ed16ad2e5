#include <LibFleet/RequestCodec.h>

#include <LibFleet/WireCodec.h>

#include <algorithm>
#include <array>

namespace Sapphire {

namespace {

constexpr std::array<const char *, 4> requestStateNames { "not-run", "running", "ran", "may-have-run" };

template<typename Repeated>
void encodeFields(const std::vector<HeaderField> &fields, Repeated &message)
{
    for (const HeaderField &field : fields) {
        wire::HeaderField *added = message.Add();
        added->set_name(field.name);
        added->set_value(field.value);
    }
}

template<typename Repeated>
std::vector<HeaderField> decodeFields(const Repeated &message)
{
    std::vector<HeaderField> fields;
    for (const wire::HeaderField &field : message) {
        fields.push_back({ field.name(), field.value() });
    }
    return fields;
}

} // namespace

void encode(const RequestHead &head, TimePoint now, wire::RequestHead &message)
{
    message.set_service(head.service.text());
    message.set_customer(head.customer.text());
    message.set_method(head.method);
    message.set_path(head.path);
    encodeFields(head.headers, *message.mutable_headers());
    message.set_id(head.id.text());
    message.set_is_idempotent(head.isIdempotent);
    message.set_remaining(encodeRemaining(head.deadline, now));
    if (head.trace) {
        message.set_traceparent(head.trace->header());
    }
    if (head.bodyBytes) {
        message.set_body_bytes(*head.bodyBytes);
    }
}

Result<RequestHead> decode(const wire::RequestHead &message, TimePoint now)
{
    BOOST_LEAF_CHECK(require(!message.service().empty(), "the service of a request"));
    BOOST_LEAF_CHECK(require(!message.method().empty(), "the method of a request"));
    BOOST_LEAF_CHECK(require(message.path().starts_with('/'), "the path of a request"));
    RequestHead head;
    head.service = ServiceId(message.service());
    head.customer = CustomerId(message.customer());
    head.method = message.method();
    head.path = message.path();
    head.headers = decodeFields(message.headers());
    head.id = RequestId(message.id());
    head.isIdempotent = message.is_idempotent();
    head.deadline = decodeRemaining(message.remaining(), now);
    head.trace = TraceContext::parse(message.traceparent());
    if (message.has_body_bytes()) {
        head.bodyBytes = message.body_bytes();
    }
    return head;
}

void encode(const AnswerHead &head, wire::AnswerHead &message)
{
    message.set_status(head.status);
    encodeFields(head.headers, *message.mutable_headers());
    if (head.bodyBytes) {
        message.set_body_bytes(*head.bodyBytes);
    }
    message.set_target(head.target.text());
    message.set_region(head.locality.region.text());
    message.set_zone(head.locality.availabilityZone.text());
    message.set_vm(head.vm.text());
}

Result<AnswerHead> decode(const wire::AnswerHead &message)
{
    constexpr int leastStatus = 100;
    constexpr int greatestStatus = 599;
    if (message.status() < leastStatus || message.status() > greatestStatus) {
        return fail(ErrorCode::InvalidArgument,
                    "the status " + std::to_string(message.status()) + " of an answer is out of range",
                    Verdict::MayHaveRun);
    }
    AnswerHead head;
    head.status = message.status();
    head.headers = decodeFields(message.headers());
    if (message.has_body_bytes()) {
        head.bodyBytes = message.body_bytes();
    }
    head.target = TargetId(message.target());
    head.locality = { RegionId(message.region()), AvailabilityZoneId(message.zone()) };
    head.vm = VmId(message.vm());
    return head;
}

void encode(const Refusal &refusal, TimePoint now, wire::Refusal &message)
{
    message.set_reason(std::string(nameOf(refusal.reason)));
    message.set_verdict(std::string(nameOf(refusal.verdict)));
    message.set_detail(refusal.detail);
    if (refusal.retryAt) {
        message.set_retry_in(encodeRemaining(*refusal.retryAt, now));
    }
    for (const AlternativeVm &alternative : refusal.alternatives) {
        wire::AlternativeVm *added = message.add_alternatives();
        added->set_vm(alternative.vm.text());
        added->set_caller_address(alternative.callerAddress);
        added->set_region(alternative.locality.region.text());
        added->set_zone(alternative.locality.availabilityZone.text());
    }
}

Result<Refusal> decode(const wire::Refusal &message, TimePoint now)
{
    const std::optional<Verdict> verdict = verdictFromString(message.verdict());
    if (!verdict) {
        return fail(ErrorCode::InvalidArgument, "a refusal has the unknown verdict '" + message.verdict() + "'",
                    Verdict::MayHaveRun);
    }
    Refusal refusal;
    refusal.reason = refusalReasonFromString(message.reason()).value_or(RefusalReason::Internal);
    refusal.verdict = *verdict;
    refusal.detail = message.detail();
    if (message.has_retry_in()) {
        refusal.retryAt = decodeRemaining(message.retry_in(), now);
    }
    for (const wire::AlternativeVm &alternative : message.alternatives()) {
        refusal.alternatives.push_back({ VmId(alternative.vm()),
                                         alternative.caller_address(),
                                         { RegionId(alternative.region()), AvailabilityZoneId(alternative.zone()) } });
    }
    return refusal;
}

void encode(const RemoteRequestState &state, wire::RequestStateResponse &message)
{
    message.set_state(requestStateNames.at(static_cast<std::size_t>(state.kind)));
    message.set_result(state.result);
}

Result<RemoteRequestState> decode(const wire::RequestStateResponse &message)
{
    const auto *const found = std::find(requestStateNames.begin(), requestStateNames.end(), message.state());
    if (found == requestStateNames.end()) {
        return fail(ErrorCode::InvalidArgument, "unknown request state '" + message.state() + "'");
    }
    return RemoteRequestState { static_cast<RemoteRequestStateKind>(found - requestStateNames.begin()),
                                message.result() };
}

} // namespace Sapphire
