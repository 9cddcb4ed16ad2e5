#include "FleetNode.h"

#include <LibFleet/FleetChannel.h>
#include <LibFleet/RequestCodec.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

class NoBody final : public BodySource
{
public:
    Result<std::size_t> read(std::span<char>) override
    {
        return std::size_t { 0 };
    }
};

class CountingSink final : public AnswerSink
{
public:
    Result<void> start(const AnswerHead &) override
    {
        return {};
    }
    Result<void> write(std::span<const char> bytes) override
    {
        byteCount += bytes.size();
        return {};
    }
    Result<void> finish() override
    {
        isFinished = true;
        return {};
    }
    bool isCancelled() const override
    {
        return false;
    }

    std::size_t byteCount { 0 };
    bool isFinished { false };
};

RequestHead requestHead(const Clock &clock)
{
    RequestHead head;
    head.service = ServiceId("status");
    head.method = "GET";
    head.path = "/";
    head.deadline = Deadline::after(clock.now(), Milliseconds(3'000));
    return head;
}

/// Returns a handler that answers once the condition holds, or after 2 s.
auto answerWhen(const std::function<bool()> &condition)
{
    return [condition](const RequestHead &, BodySource &, AnswerSink &sink) {
        waitUntil(condition, Milliseconds(2'000));
        const Outcome<void> sent = capture([&]() -> Result<void> {
            BOOST_LEAF_CHECK(sink.start({ 200, {}, {}, {}, {}, {} }));
            BOOST_LEAF_CHECK(sink.write(std::string("whole")));
            return sink.finish();
        });
        return ExchangeReport { sent ? std::nullopt : std::optional(Refusal {}), true };
    };
}

std::unique_ptr<wire::Fleet::Stub> stubOf(const FleetNode &node)
{
    return wire::Fleet::NewStub(
        grpc::CreateChannel("127.0.0.1:" + std::to_string(node.port), grpc::InsecureChannelCredentials()));
}

} // namespace

TEST_CASE("a port that is in use can't be bound a second time")
{
    // Guards against two processes of one VM: binding the port proves that the previous process has ended.
    FleetNode first("vm-0", "cuyo", "cuyo-a");
    CHECK_THROWS(FleetNode("vm-0", "cuyo", "cuyo-a", {}, first.port));
}

TEST_CASE("malformed messages are answered with an error")
{
    // Guards against crashes on messages of an unknown sender or another release.
    FleetNode node("vm-0", "cuyo", "cuyo-a");
    const auto stub = stubOf(node);
    const auto codeOf = [](const grpc::Status &status) {
        return status.error_code();
    };
    grpc::ClientContext exchange;
    wire::ExchangeResponse exchangeResponse;
    CHECK(codeOf(stub->Exchange(&exchange, {}, &exchangeResponse)) == grpc::StatusCode::INVALID_ARGUMENT);
    grpc::ClientContext borrow;
    wire::BorrowResponse borrowResponse;
    CHECK(codeOf(stub->Borrow(&borrow, {}, &borrowResponse)) == grpc::StatusCode::INVALID_ARGUMENT);
    grpc::ClientContext withdraw;
    wire::WithdrawRequest withdrawRequest;
    withdrawRequest.add_keys("");
    wire::WithdrawResponse withdrawResponse;
    CHECK(codeOf(stub->Withdraw(&withdraw, withdrawRequest, &withdrawResponse)) == grpc::StatusCode::INVALID_ARGUMENT);
    grpc::ClientContext state;
    wire::RequestStateResponse stateResponse;
    CHECK(codeOf(stub->RequestState(&state, {}, &stateResponse)) == grpc::StatusCode::INVALID_ARGUMENT);

    grpc::ClientContext forward;
    const auto stream = stub->Forward(&forward);
    wire::ForwardRequest part;
    part.set_chunk("no head");
    stream->Write(part);
    wire::ForwardAnswer answer;
    CHECK_FALSE(stream->Read(&answer));
    CHECK(codeOf(stream->Finish()) == grpc::StatusCode::INVALID_ARGUMENT);

    grpc::ClientContext badHead;
    const auto badStream = stub->Forward(&badHead);
    part.mutable_head()->set_service("status");
    badStream->Write(part);
    REQUIRE(badStream->Read(&answer));
    CHECK(answer.refusal().reason() == "bad-request");
    CHECK(answer.refusal().verdict() == "not-run");
    CHECK(badStream->Finish().ok());
}

TEST_CASE("a message above the size limit is refused")
{
    // Guards against a single sender that exhausts the memory.
    FleetNode node("vm-0", "cuyo", "cuyo-a");
    const auto stub = stubOf(node);
    grpc::ClientContext context;
    wire::WithdrawRequest request;
    request.add_keys(std::string(5'000'000, 'k'));
    wire::WithdrawResponse response;
    CHECK(stub->Withdraw(&context, request, &response).error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED);
    CHECK(node.configuration.withdrawals().empty());
}

TEST_CASE("forwarded requests above the limit are refused as not run and leave the exchange running")
{
    // Guards against forwarded requests that occupy all threads, so that the VM becomes suspect to its peers.
    FleetNodes fleet = startNodes({ { "cuyo", "cuyo-a" }, { "cuyo", "cuyo-a" } });
    fleet[1].server.reset();
    FleetServerSettings settings;
    settings.forwardLimit = 1;
    fleet[1].startServer(settings);
    std::atomic<bool> mayAnswer { false };
    fleet[1].handler.run = answerWhen([&] {
        return mayAnswer.load();
    });
    const auto handler = fleet[0].client.forward(VmId("vm-1"));
    CountingSink firstSink;
    std::thread first([&] {
        NoBody body;
        CHECK_FALSE(handler->handle(requestHead(fleet[0].clock), body, firstSink).refusal);
    });
    REQUIRE(waitUntil(
        [&] {
            return fleet[1].server->runningForwards() == 1;
        },
        Milliseconds(2'000)));
    NoBody body;
    CountingSink sink;
    const ExchangeReport report = handler->handle(requestHead(fleet[0].clock), body, sink);
    REQUIRE(report.refusal);
    CHECK(report.refusal->reason == RefusalReason::NoCapacity);
    CHECK(report.refusal->verdict == Verdict::NotRun);
    fleet[1].configuration.addEntry();
    fleet[0].tick();
    CHECK(fleet[0].configuration.version() == ConfigurationVersion(1));
    mayAnswer = true;
    first.join();
    CHECK(firstSink.isFinished);
}

TEST_CASE("a shutdown lets running requests finish until its deadline")
{
    // Guards against a planned stop that interrupts a request.
    FleetNodes fleet = startNodes({ { "cuyo", "cuyo-a" }, { "pampa", "pampa-a" } });
    std::atomic<bool> isStopping { false };
    fleet[1].handler.run = answerWhen([&] {
        return isStopping.load();
    });
    std::thread stopper([&] {
        waitUntil(
            [&] {
                return fleet[1].server->runningForwards() == 1;
            },
            Milliseconds(2'000));
        std::thread release([&] {
            std::this_thread::sleep_for(Milliseconds(100));
            isStopping = true;
        });
        fleet[1].server->shutdown(Deadline::after(fleet[1].clock.now(), Milliseconds(2'000)));
        release.join();
    });
    const auto handler = fleet[0].client.forward(VmId("vm-1"));
    NoBody body;
    CountingSink sink;
    const ExchangeReport report = handler->handle(requestHead(fleet[0].clock), body, sink);
    stopper.join();
    CHECK_FALSE(report.refusal);
    CHECK(sink.isFinished);
    CHECK(sink.byteCount == 5);
}
