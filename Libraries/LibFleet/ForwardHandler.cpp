#include <LibFleet/ForwardHandler.h>

#include <LibFleet/FleetChannel.h>
#include <LibFleet/RequestCodec.h>

#include <array>

namespace Sapphire {

namespace {

constexpr std::size_t chunkBytes = 16'384;
/// Time after the deadline in which the other VM can still send its verdict on the request.
constexpr Milliseconds verdictGrace { 250 };
/// Interval of the checks whether the caller has cancelled, while no event arrives.
constexpr Milliseconds cancelCheckInterval { 50 };

Refusal refusalOf(RefusalReason reason, Verdict verdict, std::string detail)
{
    return { reason, verdict, std::move(detail), {}, {} };
}

} // namespace

/// One forwarded request. The calling thread runs all steps, driven by the events of the call's completion queue.
class ForwardHandler::Stream
{
public:
    Stream(const VmId &vm, FleetChannel &channel, const Clock &clock, const RequestHead &head, BodySource &body,
           AnswerSink &sink)
        : m_vm(vm), m_clock(clock), m_body(body), m_sink(sink)
    {
        m_context.set_deadline(callDeadline(head.deadline.remaining(clock.now()) + verdictGrace));
        encode(head, clock.now(), *m_outgoing.mutable_head());
        m_stream = channel.stub->PrepareAsyncForward(&m_context, &m_queue);
    }

    ExchangeReport run()
    {
        m_stream->StartCall(tagOf(Event::Started));
        while (!m_isFinished) {
            step();
        }
        m_queue.Shutdown();
        void *tag = nullptr;
        bool isOk = false;
        while (m_queue.Next(&tag, &isOk)) {
        }
        return report();
    }

private:
    enum class Event : std::uintptr_t {
        Started = 1,
        Written,
        Read,
        Finished,
    };

    static void *tagOf(Event event)
    {
        return reinterpret_cast<void *>(event);
    }

    void step()
    {
        const Milliseconds wait = m_mayWrite ? Milliseconds(0) : cancelCheckInterval;
        void *tag = nullptr;
        bool isOk = false;
        switch (m_queue.AsyncNext(&tag, &isOk, callDeadline(wait))) {
        case grpc::CompletionQueue::GOT_EVENT:
            handleEvent(static_cast<Event>(reinterpret_cast<std::uintptr_t>(tag)), isOk);
            break;
        case grpc::CompletionQueue::TIMEOUT:
            if (m_mayWrite) {
                writeChunk();
            } else if (!m_refusal && m_sink.isCancelled()) {
                abandon(RefusalReason::Cancelled, "the caller has gone away");
            }
            break;
        case grpc::CompletionQueue::SHUTDOWN:
            m_isFinished = true;
            break;
        }
    }

    void handleEvent(Event event, bool isOk)
    {
        switch (event) {
        case Event::Started:
            if (isOk) {
                m_isHeadSent = true;
                m_stream->Write(m_outgoing, tagOf(Event::Written));
                m_stream->Read(&m_incoming, tagOf(Event::Read));
            } else {
                m_stream->Finish(&m_status, tagOf(Event::Finished));
            }
            break;
        case Event::Written:
            m_mayWrite = isOk && !m_isBodySent && !m_isAnswerComplete && !m_refusal;
            break;
        case Event::Read:
            if (isOk) {
                takeAnswer();
                m_stream->Read(&m_incoming, tagOf(Event::Read));
            } else {
                m_mayWrite = false;
                m_stream->Finish(&m_status, tagOf(Event::Finished));
            }
            break;
        case Event::Finished:
            m_isFinished = true;
            break;
        }
    }

    void writeChunk()
    {
        m_mayWrite = false;
        std::array<char, chunkBytes> buffer {};
        const Outcome<std::size_t> count = capture([&] {
            return m_body.read(buffer);
        });
        if (!count) {
            abandon(refusalReasonOf(count.error().code), "reading the request's body failed: " + count.error().message);
            return;
        }
        m_isBodySent = count.value() == 0;
        if (m_isBodySent) {
            m_outgoing.set_is_end(true);
            m_stream->WriteLast(m_outgoing, grpc::WriteOptions(), tagOf(Event::Written));
        } else {
            m_outgoing.set_chunk(buffer.data(), count.value());
            m_stream->Write(m_outgoing, tagOf(Event::Written));
        }
    }

    void takeAnswer()
    {
        if (m_refusal) {
            return;
        }
        const Outcome<void> taken = capture([&] {
            return takePart();
        });
        if (!taken) {
            abandon(refusalReasonOf(taken.error().code), taken.error().message);
        }
    }

    Result<void> takePart()
    {
        switch (m_incoming.part_case()) {
        case wire::ForwardAnswer::kHead: {
            if (m_isAnswerStarted) {
                return fail(ErrorCode::Internal, "VM " + m_vm.text() + " sent two answer heads");
            }
            BOOST_LEAF_AUTO(head, decode(m_incoming.head()));
            m_isAnswerStarted = true;
            return m_sink.start(head);
        }
        case wire::ForwardAnswer::kChunk:
            if (!m_isAnswerStarted) {
                return fail(ErrorCode::Internal, "VM " + m_vm.text() + " sent a body without an answer head");
            }
            return m_sink.write(m_incoming.chunk());
        case wire::ForwardAnswer::kRefusal: {
            BOOST_LEAF_AUTO(refusal, decode(m_incoming.refusal(), m_clock.now()));
            m_refusal = std::move(refusal);
            return {};
        }
        case wire::ForwardAnswer::kIsFinished:
            if (!m_isAnswerStarted) {
                return fail(ErrorCode::Internal, "VM " + m_vm.text() + " ended an answer without an answer head");
            }
            BOOST_LEAF_CHECK(m_sink.finish());
            m_isAnswerComplete = true;
            return {};
        case wire::ForwardAnswer::PART_NOT_SET:
            break;
        }
        return fail(ErrorCode::Internal, "VM " + m_vm.text() + " sent an empty answer part");
    }

    void abandon(RefusalReason reason, std::string detail)
    {
        m_refusal = refusalOf(reason, m_isHeadSent ? Verdict::MayHaveRun : Verdict::NotRun, std::move(detail));
        m_context.TryCancel();
    }

    ExchangeReport report()
    {
        if (m_isAnswerComplete) {
            return { std::nullopt, true };
        }
        if (!m_refusal) {
            m_refusal = refusalOf(failureReason(), m_isHeadSent ? Verdict::MayHaveRun : Verdict::NotRun,
                                  "VM " + m_vm.text() + ": " + m_status.error_message());
        }
        return { std::move(m_refusal), m_isAnswerStarted };
    }

    RefusalReason failureReason() const
    {
        if (m_isAnswerStarted) {
            return RefusalReason::AnswerCut;
        }
        return m_status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED ? RefusalReason::DeadlinePassed
                                                                            : RefusalReason::TargetFailed;
    }

    const VmId &m_vm;
    const Clock &m_clock;
    BodySource &m_body;
    AnswerSink &m_sink;
    grpc::ClientContext m_context;
    grpc::CompletionQueue m_queue;
    std::unique_ptr<grpc::ClientAsyncReaderWriter<wire::ForwardRequest, wire::ForwardAnswer>> m_stream;
    wire::ForwardRequest m_outgoing;
    wire::ForwardAnswer m_incoming;
    grpc::Status m_status;
    std::optional<Refusal> m_refusal;
    bool m_isHeadSent { false };
    bool m_mayWrite { false };
    bool m_isBodySent { false };
    bool m_isAnswerStarted { false };
    bool m_isAnswerComplete { false };
    bool m_isFinished { false };
};

ForwardHandler::ForwardHandler(VmId vm, ChannelSource channels, const Clock &clock, Milliseconds connectTimeout)
    : m_vm(std::move(vm)), m_channels(std::move(channels)), m_clock(clock), m_connectTimeout(connectTimeout)
{
}

ExchangeReport ForwardHandler::handle(const RequestHead &head, BodySource &body, AnswerSink &sink)
{
    const TimePoint now = m_clock.now();
    if (head.deadline.hasPassed(now)) {
        return { refusalOf(RefusalReason::DeadlinePassed, Verdict::NotRun, "the deadline has passed"), false };
    }
    // A request certainly has not run only if it was never sent on a connection. So the connection is awaited first,
    // and a request without one is refused as not run.
    const Microseconds wait = std::min<Microseconds>(m_connectTimeout, head.deadline.remaining(now));
    const std::shared_ptr<FleetChannel> channel = m_channels();
    if (!channel || !channel->channel->WaitForConnected(callDeadline(wait))) {
        return { refusalOf(RefusalReason::TargetFailed, Verdict::NotRun, "VM " + m_vm.text() + " can't be reached"),
                 false };
    }
    return Stream(m_vm, *channel, m_clock, head, body, sink).run();
}

} // namespace Sapphire
