#include <LibFleet/FleetClient.h>

#include <LibCore/EventLog.h>
#include <LibFleet/FleetChannel.h>
#include <LibFleet/FleetEvents.h>
#include <LibFleet/ForwardHandler.h>
#include <LibFleet/RequestCodec.h>
#include <LibFleet/WireCodec.h>

namespace Sapphire {

namespace {

boost::leaf::error_id failure(const VmId &vm, const grpc::Status &status)
{
    const std::string message = "VM " + vm.text() + ": " + status.error_message();
    switch (status.error_code()) {
    case grpc::StatusCode::DEADLINE_EXCEEDED:
        return fail(ErrorCode::Timeout, message, Verdict::MayHaveRun);
    case grpc::StatusCode::NOT_FOUND:
        return fail(ErrorCode::NotFound, message);
    case grpc::StatusCode::INVALID_ARGUMENT:
        return fail(ErrorCode::InvalidArgument, message);
    default:
        return fail(ErrorCode::Unavailable, message, Verdict::MayHaveRun);
    }
}

} // namespace

/// One of several calls that run in parallel.
template<typename Response>
struct FleetClient::Call
{
    VmId vm;
    std::shared_ptr<FleetChannel> channel;
    grpc::ClientContext context;
    Response response;
    grpc::Status status;
    std::unique_ptr<grpc::ClientAsyncResponseReader<Response>> reader;
};

FleetClient::FleetClient(const Membership &membership, const Clock &clock, FleetClientSettings settings)
    : m_membership(membership), m_clock(clock), m_settings(std::move(settings))
{
}

FleetClient::~FleetClient() = default;

Result<std::shared_ptr<FleetChannel>> FleetClient::channel(const VmId &vm)
{
    const std::optional<VmEndpoints> endpoints = m_membership.endpoints(vm);
    if (!endpoints) {
        return fail(ErrorCode::Unavailable, "the address of VM " + vm.text() + " is not known");
    }
    std::string address = endpoints->address + ":" + std::to_string(endpoints->fleetPort);
    const auto translated = m_settings.addressMap.find(address);
    if (translated != m_settings.addressMap.end()) {
        address = translated->second;
    }
    const std::lock_guard guard(m_mutex);
    std::shared_ptr<FleetChannel> &channel = m_channels[vm];
    if (!channel || channel->address != address) {
        channel = open(address);
    }
    channel->usedAt = m_clock.now().time_since_epoch().count();
    return channel;
}

std::shared_ptr<FleetChannel> FleetClient::open(const std::string &address) const
{
    grpc::ChannelArguments arguments;
    // With a subchannel pool of its own, a replacement channel opens a new connection instead of sharing the one that
    // timed out.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, static_cast<int>(m_settings.keepaliveInterval.count()));
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, static_cast<int>(m_settings.keepaliveTimeout.count()));
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    constexpr int firstBackoff = 100;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, firstBackoff);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, static_cast<int>(m_settings.connectTimeout.count()));
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, static_cast<int>(m_settings.longestBackoff.count()));
    // Whether a call may be retried is for the callers to decide, which know whether it may run twice.
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    arguments.SetInt(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES, streamWindowBytes);
    arguments.SetMaxReceiveMessageSize(std::max(m_settings.messageLimit, m_settings.snapshotLimit));
    auto channel = std::make_shared<FleetChannel>();
    channel->address = address;
    channel->channel = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
    channel->stub = wire::Fleet::NewStub(channel->channel);
    return channel;
}

void FleetClient::noteOutcome(const VmId &vm, const std::shared_ptr<FleetChannel> &channel, bool isTimeout)
{
    if (!isTimeout) {
        channel->timeouts = 0;
        return;
    }
    if (++channel->timeouts < m_settings.timeoutsBeforeReplacement) {
        return;
    }
    const std::lock_guard guard(m_mutex);
    const auto held = m_channels.find(vm);
    if (held != m_channels.end() && held->second == channel) {
        m_channels.erase(held);
        logEvent(fleetChannelReplaced, { { "vm", vm }, { "address", channel->address } });
    }
}

template<typename Response, typename Request, typename Method>
Result<Response> FleetClient::callUnary(const VmId &vm, Method method, const Request &request, Deadline deadline)
{
    BOOST_LEAF_AUTO(peer, channel(vm));
    grpc::ClientContext context;
    context.set_deadline(callDeadline(deadline.remaining(m_clock.now())));
    Response response;
    const grpc::Status status = ((*peer->stub).*method)(&context, request, &response);
    noteOutcome(vm, peer, status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED);
    if (!status.ok()) {
        return failure(vm, status);
    }
    return response;
}

template<typename Response, typename Request, typename Method, typename Take>
std::vector<VmId> FleetClient::callAll(const std::vector<std::pair<VmId, Request>> &requests, Method method,
                                       Deadline deadline, const Take &take)
{
    grpc::CompletionQueue queue;
    std::vector<std::unique_ptr<Call<Response>>> calls;
    std::vector<VmId> unanswered;
    const auto end = callDeadline(deadline.remaining(m_clock.now()));
    for (const auto &item : requests) {
        const auto opened = capture([&] {
            return channel(item.first);
        });
        if (!opened) {
            unanswered.push_back(item.first);
            continue;
        }
        auto call = std::make_unique<Call<Response>>();
        call->vm = item.first;
        call->channel = opened.value();
        call->context.set_deadline(end);
        call->reader = ((*call->channel->stub).*method)(&call->context, item.second, &queue);
        call->reader->Finish(&call->response, &call->status, call.get());
        calls.push_back(std::move(call));
    }
    void *tag = nullptr;
    bool isOk = false;
    for (std::size_t finished = 0; finished < calls.size() && queue.Next(&tag, &isOk); ++finished) {
        auto *call = static_cast<Call<Response> *>(tag);
        noteOutcome(call->vm, call->channel, call->status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED);
        if (call->status.ok()) {
            take(call->vm, call->response);
        } else {
            unanswered.push_back(call->vm);
        }
    }
    queue.Shutdown();
    while (queue.Next(&tag, &isOk)) {
    }
    return unanswered;
}

Result<Loan> FleetClient::borrow(const VmId &lender, const CustomerId &customer, Tokens wanted, Deadline deadline)
{
    const TimePoint sentAt = m_clock.now();
    wire::BorrowRequest request;
    request.set_customer(customer.text());
    request.set_wanted(wanted.value());
    encode(m_membership.self(), *request.mutable_borrower());
    BOOST_LEAF_AUTO(response, callUnary<wire::BorrowResponse>(lender, &wire::Fleet::Stub::Borrow, request, deadline));
    if (response.tokens() < 0 || response.tokens() > wanted.value()) {
        return fail(ErrorCode::InvalidArgument,
                    "VM " + lender.text() + " lent " + std::to_string(response.tokens()) + " tokens");
    }
    // The remaining time counts from the sending of the request, so the loan ends here no later than at the lender.
    return Loan { customer, Tokens(response.tokens()), Deadline(sentAt + Milliseconds(response.remaining())),
                  Deadline(m_clock.now() + Milliseconds(response.next_token_in())) };
}

std::unique_ptr<RequestHandler> FleetClient::forward(const VmId &vm)
{
    const auto channels = [this, vm]() -> std::shared_ptr<FleetChannel> {
        const auto opened = capture([&] {
            return channel(vm);
        });
        return opened ? opened.value() : nullptr;
    };
    return std::make_unique<ForwardHandler>(vm, channels, m_clock, m_settings.connectTimeout);
}

Result<RemoteRequestState> FleetClient::requestState(const VmId &vm, const CustomerId &customer, const RequestId &id,
                                                     Deadline deadline)
{
    wire::RequestStateRequest request;
    request.set_customer(customer.text());
    request.set_id(id.text());
    BOOST_LEAF_AUTO(response,
                    callUnary<wire::RequestStateResponse>(vm, &wire::Fleet::Stub::RequestState, request, deadline));
    return decode(response);
}

Result<ConfigurationSnapshot> FleetClient::snapshot(const VmId &vm, ConfigurationVersion version, Deadline deadline)
{
    wire::SnapshotRequest request;
    request.set_version(version.value());
    BOOST_LEAF_AUTO(response, callUnary<wire::SnapshotResponse>(vm, &wire::Fleet::Stub::Snapshot, request, deadline));
    return ConfigurationSnapshot { ConfigurationVersion(response.version()), response.text() };
}

std::vector<VmId> FleetClient::exchange(const std::vector<std::pair<VmId, wire::ExchangeRequest>> &requests,
                                        Deadline deadline, const ResponseTaker &take)
{
    return callAll<wire::ExchangeResponse>(requests, &wire::Fleet::Stub::AsyncExchange, deadline, take);
}

std::size_t FleetClient::withdraw(const std::vector<VmId> &vms, const std::set<KeyId> &keys, Deadline deadline)
{
    wire::WithdrawRequest request;
    encode(m_membership.self(), *request.mutable_sender());
    for (const KeyId &key : keys) {
        request.add_keys(key.text());
    }
    std::vector<std::pair<VmId, wire::WithdrawRequest>> requests;
    requests.reserve(vms.size());
    for (const VmId &vm : vms) {
        requests.emplace_back(vm, request);
    }
    std::size_t acknowledged = 0;
    callAll<wire::WithdrawResponse>(requests, &wire::Fleet::Stub::AsyncWithdraw, deadline,
                                    [&](const VmId &, const wire::WithdrawResponse &) {
                                        ++acknowledged;
                                    });
    return acknowledged;
}

void FleetClient::closeIdle(TimePoint now)
{
    const std::lock_guard guard(m_mutex);
    std::erase_if(m_channels, [&](const auto &item) {
        return now - TimePoint(Microseconds(item.second->usedAt)) > m_settings.idleTimeout;
    });
}

std::size_t FleetClient::channelCount() const
{
    const std::lock_guard guard(m_mutex);
    return m_channels.size();
}

} // namespace Sapphire
