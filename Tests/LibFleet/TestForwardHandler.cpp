#include "FleetNode.h"

#include <doctest/doctest.h>

#include <numeric>

using namespace Sapphire;

namespace {

class TextBody final : public BodySource
{
public:
    explicit TextBody(std::string text) : m_text(std::move(text))
    {
    }

    Result<std::size_t> read(std::span<char> buffer) override
    {
        if (isCallerGone) {
            return fail(ErrorCode::Cancelled, "the caller has gone away");
        }
        const std::size_t count = std::min(buffer.size(), m_text.size() - m_taken);
        std::copy_n(m_text.data() + m_taken, count, buffer.data());
        m_taken += count;
        return count;
    }

    bool isCallerGone { false };

private:
    std::string m_text;
    std::size_t m_taken { 0 };
};

class TextSink final : public AnswerSink
{
public:
    Result<void> start(const AnswerHead &answerHead) override
    {
        head = answerHead;
        return {};
    }
    Result<void> write(std::span<const char> bytes) override
    {
        text.append(bytes.data(), bytes.size());
        return {};
    }
    Result<void> finish() override
    {
        isFinished = true;
        return {};
    }
    bool isCancelled() const override
    {
        return isCallerGone;
    }

    std::optional<AnswerHead> head;
    std::string text;
    bool isFinished { false };
    std::atomic<bool> isCallerGone { false };
};

/// Returns the request's body as the answer, chunk by chunk.
ExchangeReport echo(const RequestHead &, BodySource &body, AnswerSink &sink)
{
    const Outcome<void> outcome = capture([&]() -> Result<void> {
        BOOST_LEAF_CHECK(sink.start({ 200, { { "Content-Type", "text/plain" } }, {}, TargetId("target-1"), {}, {} }));
        std::array<char, 10'000> buffer {};
        while (true) {
            BOOST_LEAF_AUTO(count, body.read(buffer));
            if (count == 0) {
                break;
            }
            BOOST_LEAF_CHECK(sink.write(std::span(buffer).first(count)));
        }
        return sink.finish();
    });
    if (!outcome) {
        return { Refusal { RefusalReason::Internal, Verdict::MayHaveRun, outcome.error().message, {}, {} }, true };
    }
    return { std::nullopt, true };
}

struct Forwarding
{
    Forwarding()
        : fleet(startNodes({ { "cuyo", "cuyo-a" }, { "pampa", "pampa-a" } }))
        , handler(fleet[0].client.forward(VmId("vm-1")))
    {
        server().handler.run = echo;
        head.service = ServiceId("booking");
        head.customer = CustomerId("limpieza");
        head.method = "POST";
        head.path = "/lines/7?day=2";
        head.isIdempotent = false;
        head.deadline = Deadline::after(fleet[0].clock.now(), Milliseconds(5'000));
    }

    FleetNode &server()
    {
        return fleet[1];
    }
    ExchangeReport run(const std::string &text = "")
    {
        TextBody body(text);
        return handler->handle(head, body, sink);
    }

    FleetNodes fleet;
    std::unique_ptr<RequestHandler> handler;
    RequestHead head;
    TextSink sink;
};

} // namespace

TEST_CASE("a large body is streamed to another VM and back")
{
    // Guards against bodies that are truncated, reordered or buffered as one message.
    Forwarding forwarding;
    std::string text(6'000'000, ' ');
    std::iota(text.begin(), text.end(), '\0');
    const ExchangeReport report = forwarding.run(text);
    CHECK_FALSE(report.refusal);
    CHECK(report.verdict() == Verdict::Ran);
    CHECK(forwarding.sink.isFinished);
    CHECK((forwarding.sink.text == text));
    REQUIRE(forwarding.sink.head);
    CHECK(forwarding.sink.head->status == 200);
    CHECK(forwarding.sink.head->target == TargetId("target-1"));
}

TEST_CASE("the head of a forwarded request arrives complete")
{
    // Guards against a deadline, trace context or request id that is lost between VMs.
    Forwarding forwarding;
    RequestHead seen;
    forwarding.server().handler.run = [&](const RequestHead &head, BodySource &body, AnswerSink &sink) {
        seen = head;
        return echo(head, body, sink);
    };
    forwarding.head.id = RequestId("r-7");
    forwarding.head.headers = { { "Accept", "text/plain" } };
    forwarding.head.trace = TraceContext { std::string(32, 'a'), std::string(16, 'b'), true };
    forwarding.head.bodyBytes = 3;
    CHECK_FALSE(forwarding.run("abc").refusal);
    CHECK(seen.service == forwarding.head.service);
    CHECK(seen.customer == forwarding.head.customer);
    CHECK(seen.method == "POST");
    CHECK(seen.path == "/lines/7?day=2");
    CHECK(seen.id == RequestId("r-7"));
    CHECK_FALSE(seen.isIdempotent);
    REQUIRE(seen.trace);
    CHECK(seen.trace->traceId == std::string(32, 'a'));
    CHECK(seen.bodyBytes == 3);
    CHECK(seen.headers.size() == 1);
    const Microseconds difference = seen.deadline.at() - forwarding.head.deadline.at();
    CHECK(std::chrono::abs(difference) < Milliseconds(500));
}

TEST_CASE("a refusal of the other VM keeps its verdict")
{
    // Guards against a request that has certainly not run but is reported as may-have-run, which rules out a retry.
    Forwarding forwarding;
    forwarding.server().handler.run = [](const RequestHead &, BodySource &, AnswerSink &) {
        Refusal refusal { RefusalReason::NoHealthyTarget, Verdict::NotRun, "none", {}, {} };
        refusal.retryAt = Deadline(BootClock().now() + Milliseconds(700));
        refusal.alternatives.push_back(
            { VmId("vm-5"), "127.0.0.1:80", { RegionId("norte"), AvailabilityZoneId("norte-a") } });
        return ExchangeReport { refusal, false };
    };
    const ExchangeReport report = forwarding.run(std::string(1'000'000, 'x'));
    REQUIRE(report.refusal);
    CHECK(report.refusal->reason == RefusalReason::NoHealthyTarget);
    CHECK(report.refusal->verdict == Verdict::NotRun);
    CHECK(report.refusal->retryAt);
    REQUIRE(report.refusal->alternatives.size() == 1);
    CHECK(report.refusal->alternatives[0].callerAddress == "127.0.0.1:80");
    CHECK_FALSE(report.isAnswerStarted);
}

TEST_CASE("a VM that can't be reached has certainly not run the request")
{
    // Guards against a request that is reported as may-have-run although this VM never sent it.
    Forwarding forwarding;
    forwarding.server().server.reset();
    const TimePoint begin = forwarding.fleet[0].clock.now();
    const ExchangeReport report = forwarding.run("abc");
    REQUIRE(report.refusal);
    CHECK(report.refusal->verdict == Verdict::NotRun);
    CHECK(forwarding.fleet[0].clock.now() - begin < Milliseconds(1'500));
    const auto unknown = forwarding.fleet[0].client.forward(VmId("vm-9"));
    TextBody body("abc");
    CHECK(unknown->handle(forwarding.head, body, forwarding.sink).verdict() == Verdict::NotRun);
}

TEST_CASE("a caller that goes away cancels the request at the other VM")
{
    // Guards against targets that keep working for callers that have disconnected.
    Forwarding forwarding;
    std::atomic<bool> wasCancelled { false };
    forwarding.server().handler.run = [&](const RequestHead &, BodySource &, AnswerSink &sink) {
        forwarding.sink.isCallerGone = true;
        wasCancelled = waitUntil(
            [&] {
                return sink.isCancelled();
            },
            Milliseconds(3'000));
        return ExchangeReport { Refusal { RefusalReason::Cancelled, Verdict::MayHaveRun, "", {}, {} }, false };
    };
    const ExchangeReport report = forwarding.run();
    REQUIRE(report.refusal);
    CHECK(report.refusal->reason == RefusalReason::Cancelled);
    CHECK(report.refusal->verdict == Verdict::MayHaveRun);
    CHECK(waitUntil(
        [&] {
            return wasCancelled.load();
        },
        Milliseconds(3'000)));
}

TEST_CASE("a caller that goes away while it sends its body cancels the request")
{
    // Guards against a server thread that waits for the rest of a body that never arrives.
    Forwarding forwarding;
    TextBody body("abc");
    body.isCallerGone = true;
    const ExchangeReport report = forwarding.handler->handle(forwarding.head, body, forwarding.sink);
    REQUIRE(report.refusal);
    CHECK(report.refusal->reason == RefusalReason::Cancelled);
    CHECK(waitUntil(
        [&] {
            return forwarding.server().server->runningForwards() == 0;
        },
        Milliseconds(2'000)));
}

TEST_CASE("a forwarded request ends at its deadline")
{
    // Guards against a thread that is blocked for longer than the caller waits.
    Forwarding forwarding;
    forwarding.server().handler.run = [](const RequestHead &, BodySource &, AnswerSink &sink) {
        waitUntil(
            [&] {
                return sink.isCancelled();
            },
            Milliseconds(3'000));
        return ExchangeReport { Refusal { RefusalReason::Cancelled, Verdict::MayHaveRun, "", {}, {} }, false };
    };
    const TimePoint begin = forwarding.fleet[0].clock.now();
    forwarding.head.deadline = Deadline::after(begin, Milliseconds(300));
    const ExchangeReport report = forwarding.run();
    REQUIRE(report.refusal);
    CHECK(report.refusal->reason == RefusalReason::DeadlinePassed);
    CHECK(report.refusal->verdict == Verdict::MayHaveRun);
    CHECK(forwarding.fleet[0].clock.now() - begin < Milliseconds(1'200));

    forwarding.head.deadline = Deadline::after(forwarding.fleet[0].clock.now(), Milliseconds(-1));
    CHECK(forwarding.run().verdict() == Verdict::NotRun);
}

TEST_CASE("a request whose server dies while it runs may have run")
{
    // Guards against a retry of a non-idempotent request that may have run although its answer was lost.
    Forwarding forwarding;
    std::atomic<bool> isRunning { false };
    bool isAnswerBegun = false;
    SUBCASE("before the answer")
    {
    }
    SUBCASE("during the answer")
    {
        isAnswerBegun = true;
    }
    forwarding.server().handler.run = [&](const RequestHead &, BodySource &, AnswerSink &sink) {
        if (isAnswerBegun) {
            static_cast<void>(capture([&]() -> Result<void> {
                BOOST_LEAF_CHECK(sink.start({ 200, {}, {}, {}, {}, {} }));
                return sink.write(std::string("part"));
            }));
        }
        isRunning = true;
        waitUntil(
            [&] {
                return sink.isCancelled();
            },
            Milliseconds(3'000));
        return ExchangeReport { Refusal { RefusalReason::Internal, Verdict::NotRun, "", {}, {} }, isAnswerBegun };
    };
    std::thread killer([&] {
        waitUntil(
            [&] {
                return isRunning.load();
            },
            Milliseconds(3'000));
        forwarding.server().server.reset();
    });
    const ExchangeReport report = forwarding.run();
    killer.join();
    REQUIRE(report.refusal);
    CHECK(report.refusal->verdict == Verdict::MayHaveRun);
    CHECK(report.isAnswerStarted == isAnswerBegun);
    CHECK_FALSE(forwarding.sink.isFinished);
    if (isAnswerBegun) {
        CHECK(report.refusal->reason == RefusalReason::AnswerCut);
    }
}
