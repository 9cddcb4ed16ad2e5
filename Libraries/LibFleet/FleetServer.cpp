#include <LibFleet/FleetServer.h>

#include <LibCore/EventLog.h>
#include <LibFleet/FleetChannel.h>
#include <LibFleet/FleetEvents.h>
#include <LibFleet/RequestCodec.h>
#include <LibFleet/WireCodec.h>

#include <algorithm>
#include <atomic>

namespace Sapphire {

namespace {

using ForwardStream = grpc::ServerReaderWriter<wire::ForwardAnswer, wire::ForwardRequest>;

/// Identifiers that are longer than this are rejected as malformed.
constexpr std::size_t longestName = 512;

grpc::Status statusOf(const Error &error)
{
    switch (error.code) {
    case ErrorCode::InvalidArgument:
        return { grpc::StatusCode::INVALID_ARGUMENT, error.message };
    case ErrorCode::NotFound:
        return { grpc::StatusCode::NOT_FOUND, error.message };
    default:
        return { grpc::StatusCode::UNAVAILABLE, error.message };
    }
}

grpc::Status rejected(const char *call, const std::string &fault)
{
    logEvent(fleetMessageRejected, { { "call", call }, { "fault", fault } });
    return { grpc::StatusCode::INVALID_ARGUMENT, fault };
}

/// The body of a request that another VM forwards.
class ForwardedBody final : public BodySource
{
public:
    ForwardedBody(ForwardStream &stream, const Clock &clock, Deadline deadline)
        : m_stream(stream), m_clock(clock), m_deadline(deadline)
    {
    }

    Result<std::size_t> read(std::span<char> buffer) override
    {
        BOOST_LEAF_CHECK(readPart());
        const std::size_t count = std::min(buffer.size(), m_part.chunk().size() - m_taken);
        std::copy_n(m_part.chunk().data() + m_taken, count, buffer.data());
        m_taken += count;
        return count;
    }

private:
    /// Reads parts of the stream until unread bytes are available or the body ends.
    Result<void> readPart()
    {
        while (!m_isEnded && m_taken == m_part.chunk().size()) {
            m_taken = 0;
            if (!m_stream.Read(&m_part)) {
                m_part.Clear();
                if (m_deadline.hasPassed(m_clock.now())) {
                    return fail(ErrorCode::Timeout, "the deadline passed before the body was complete");
                }
                return fail(ErrorCode::Cancelled, "the forwarding VM cancelled the request");
            }
            if (m_part.has_head()) {
                return fail(ErrorCode::InvalidArgument, "a forwarded request has two heads");
            }
            m_isEnded = m_part.is_end();
        }
        return {};
    }

    ForwardStream &m_stream;
    const Clock &m_clock;
    const Deadline m_deadline;
    wire::ForwardRequest m_part;
    std::size_t m_taken { 0 };
    bool m_isEnded { false };
};

/// Sends the answer back to the VM that forwarded the request.
class ForwardedAnswer final : public AnswerSink
{
public:
    ForwardedAnswer(ForwardStream &stream, const grpc::ServerContext &context) : m_stream(stream), m_context(context)
    {
    }

    Result<void> start(const AnswerHead &head) override
    {
        wire::ForwardAnswer part;
        encode(head, *part.mutable_head());
        return send(part);
    }
    Result<void> write(std::span<const char> bytes) override
    {
        wire::ForwardAnswer part;
        part.set_chunk(bytes.data(), bytes.size());
        return send(part);
    }
    Result<void> finish() override
    {
        wire::ForwardAnswer part;
        part.set_is_finished(true);
        return send(part);
    }
    bool isCancelled() const override
    {
        return m_context.IsCancelled();
    }

private:
    Result<void> send(const wire::ForwardAnswer &part)
    {
        if (!m_stream.Write(part)) {
            return fail(ErrorCode::Cancelled, "the forwarding VM closed the stream", Verdict::MayHaveRun);
        }
        return {};
    }

    ForwardStream &m_stream;
    const grpc::ServerContext &m_context;
};

/// Counts the running forwarded requests during its lifetime and checks them against the limit.
class ForwardSlot
{
public:
    ForwardSlot(std::atomic<int> &running, int limit) : m_running(running), m_isFree(++running <= limit)
    {
    }
    ~ForwardSlot()
    {
        --m_running;
    }
    ForwardSlot(const ForwardSlot &) = delete;
    ForwardSlot &operator=(const ForwardSlot &) = delete;

    bool isFree() const
    {
        return m_isFree;
    }

private:
    std::atomic<int> &m_running;
    const bool m_isFree;
};

} // namespace

/// Decodes each call and passes it to the object that handles it. A malformed message is answered with
/// INVALID_ARGUMENT.
class FleetServer::Service final : public wire::Fleet::Service
{
public:
    Service(const FleetServerParts &parts, int forwardLimit) : m_parts(parts), m_forwardLimit(forwardLimit)
    {
    }

    int runningForwards() const
    {
        return m_runningForwards;
    }

    grpc::Status Exchange(grpc::ServerContext *, const wire::ExchangeRequest *request,
                          wire::ExchangeResponse *response) override
    {
        Outcome<wire::ExchangeResponse> answer = capture([&] {
            return m_parts.exchange.answer(*request, m_parts.clock.now());
        });
        if (!answer) {
            return rejected("Exchange", answer.error().message);
        }
        *response = std::move(answer.value());
        return grpc::Status::OK;
    }

    grpc::Status Borrow(grpc::ServerContext *, const wire::BorrowRequest *request,
                        wire::BorrowResponse *response) override
    {
        if (request->customer().empty() || request->wanted() < 0 || request->borrower().vm().empty()) {
            return rejected("Borrow",
                            "a loan request needs a customer, a borrower and a non-negative number of tokens");
        }
        const TimePoint now = m_parts.clock.now();
        const Outcome<Loan> loan = capture([&] {
            return m_parts.lender.lend(CustomerId(request->customer()), Tokens(request->wanted()),
                                       decode(request->borrower()), now);
        });
        if (!loan) {
            return statusOf(loan.error());
        }
        response->set_tokens(loan.value().tokens.value());
        response->set_remaining(encodeRemaining(loan.value().deadline, now));
        response->set_next_token_in(encodeRemaining(loan.value().nextTokenAt, now));
        return grpc::Status::OK;
    }

    grpc::Status Forward(grpc::ServerContext *context, ForwardStream *stream) override
    {
        wire::ForwardRequest first;
        if (!stream->Read(&first) || !first.has_head()) {
            return rejected("Forward", "a forwarded request doesn't begin with its head");
        }
        const ForwardSlot slot(m_runningForwards, m_forwardLimit);
        if (!slot.isFree()) {
            logEvent(fleetForwardLimitReached, { { "limit", m_forwardLimit } });
            return refuse(*stream,
                          { RefusalReason::NoCapacity, Verdict::NotRun, "too many forwarded requests", {}, {} });
        }
        const Outcome<RequestHead> head = capture([&] {
            return decode(first.head(), m_parts.clock.now());
        });
        if (!head) {
            rejected("Forward", head.error().message);
            return refuse(*stream, { RefusalReason::BadRequest, Verdict::NotRun, head.error().message, {}, {} });
        }
        ForwardedBody body(*stream, m_parts.clock, head.value().deadline);
        ForwardedAnswer answer(*stream, *context);
        const ExchangeReport report = m_parts.requests.handle(head.value(), body, answer);
        return report.refusal ? refuse(*stream, *report.refusal) : grpc::Status::OK;
    }

    grpc::Status RequestState(grpc::ServerContext *, const wire::RequestStateRequest *request,
                              wire::RequestStateResponse *response) override
    {
        if (request->id().empty() || request->id().size() > longestName) {
            return rejected("RequestState", "a request id is missing or too long");
        }
        const Outcome<RemoteRequestState> state = capture([&] {
            return m_parts.states.requestState(CustomerId(request->customer()), RequestId(request->id()));
        });
        if (!state) {
            return statusOf(state.error());
        }
        encode(state.value(), *response);
        return grpc::Status::OK;
    }

    grpc::Status Withdraw(grpc::ServerContext *, const wire::WithdrawRequest *request,
                          wire::WithdrawResponse *) override
    {
        std::set<KeyId> keys;
        for (const std::string &key : request->keys()) {
            if (key.empty() || key.size() > longestName) {
                return rejected("Withdraw", "a key id is empty or too long");
            }
            keys.emplace(key);
        }
        if (m_parts.configuration.takeWithdrawals(keys)) {
            m_parts.withdrawals.forward(std::move(keys));
        }
        return grpc::Status::OK;
    }

    grpc::Status Snapshot(grpc::ServerContext *, const wire::SnapshotRequest *request,
                          wire::SnapshotResponse *response) override
    {
        Outcome<ConfigurationSnapshot> snapshot = capture([&] {
            return m_parts.snapshots.snapshot();
        });
        if (!snapshot) {
            return statusOf(snapshot.error());
        }
        if (snapshot.value().version.value() <= request->version()) {
            return { grpc::StatusCode::NOT_FOUND, "no newer configuration" };
        }
        response->set_version(snapshot.value().version.value());
        response->set_text(std::move(snapshot.value().text));
        return grpc::Status::OK;
    }

private:
    grpc::Status refuse(ForwardStream &stream, const Refusal &refusal) const
    {
        wire::ForwardAnswer part;
        encode(refusal, m_parts.clock.now(), *part.mutable_refusal());
        stream.Write(part);
        return grpc::Status::OK;
    }

    const FleetServerParts m_parts;
    const int m_forwardLimit;
    std::atomic<int> m_runningForwards { 0 };
};

struct FleetServer::Data
{
    Data(const FleetServerParts &parts, int forwardLimit) : service(parts, forwardLimit), clock(parts.clock)
    {
    }

    Service service;
    const Clock &clock;
    std::unique_ptr<grpc::Server> server;
    int port { 0 };
};

FleetServer::FleetServer() = default;

Result<std::unique_ptr<FleetServer>> FleetServer::create(const FleetServerParts &parts,
                                                         const FleetServerSettings &settings)
{
    std::unique_ptr<FleetServer> server(new FleetServer);
    server->m_data = std::make_unique<Data>(parts, settings.forwardLimit);
    grpc::ServerBuilder builder;
    grpc::ResourceQuota quota("fleet");
    quota.SetMaxThreads(settings.threadLimit);
    builder.SetResourceQuota(quota);
    builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::NUM_CQS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::MIN_POLLERS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::MAX_POLLERS, 2);
    builder.SetMaxReceiveMessageSize(settings.messageLimit);
    // Without port sharing, binding the address proves that the previous process of this VM has ended.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, static_cast<int>(settings.keepaliveInterval.count()));
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, static_cast<int>(settings.keepaliveTimeout.count()));
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               static_cast<int>(settings.leastPingInterval.count()));
    builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES, streamWindowBytes);
    builder.AddListeningPort(settings.address, grpc::InsecureServerCredentials(), &server->m_data->port);
    builder.RegisterService(&server->m_data->service);
    server->m_data->server = builder.BuildAndStart();
    if (!server->m_data->server || server->m_data->port == 0) {
        return fail(ErrorCode::Unavailable, "the fleet address " + settings.address + " can't be bound");
    }
    logEvent(fleetServerStarted, { { "address", settings.address }, { "port", server->m_data->port } });
    return server;
}

FleetServer::~FleetServer()
{
    if (m_data && m_data->server) {
        shutdown(Deadline(m_data->clock.now()));
    }
}

std::uint16_t FleetServer::port() const
{
    return static_cast<std::uint16_t>(m_data->port);
}

int FleetServer::runningForwards() const
{
    return m_data->service.runningForwards();
}

void FleetServer::shutdown(Deadline deadline)
{
    m_data->server->Shutdown(callDeadline(deadline.remaining(m_data->clock.now())));
    m_data->server->Wait();
    m_data->server.reset();
    logEvent(fleetServerStopped, { { "port", m_data->port } });
}

} // namespace Sapphire
