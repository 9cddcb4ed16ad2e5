#pragma once

#include <Fakes/FakeConfigurationSource.h>
#include <Fakes/FakeRoster.h>
#include <Fakes/FakeTableService.h>
#include <LibCaller/EntryHandler.h>
#include <LibCaller/KeyCheck.h>
#include <LibCaller/LookUp.h>
#include <LibCore/BootClock.h>
#include <LibCore/Hash.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace Sapphire {

/// Targets whose behaviour is a function that the test sets.
class FakeLocalTargets final : public LocalTargets
{
public:
    ExchangeReport run(const RequestHead &head, BodySource &, AnswerSink &sink, const LocalRunOptions &) override
    {
        ++runs;
        return behaviour(head, sink);
    }

    static ExchangeReport answerWith(AnswerSink &sink, const std::string &body)
    {
        AnswerHead head;
        head.status = 200;
        head.bodyBytes = body.size();
        head.target = TargetId("t-1");
        const Outcome<void> sent = capture([&]() -> Result<void> {
            BOOST_LEAF_CHECK(sink.start(head));
            BOOST_LEAF_CHECK(sink.write(body));
            return sink.finish();
        });
        if (!sent) {
            return { Refusal { RefusalReason::Cancelled, Verdict::MayHaveRun, sent.error().message }, true };
        }
        return { std::nullopt, true };
    }

    int runs { 0 };
    std::function<ExchangeReport(const RequestHead &, AnswerSink &)> behaviour = [](const RequestHead &,
                                                                                    AnswerSink &sink) {
        return answerWith(sink, "done");
    };
};

/// Other VMs, which are unreachable. If a test sets isReachable, they answer forwarded requests.
class FakePeers final : public FleetPeers
{
public:
    ExchangeReport forward(const VmId &vm, const RequestHead &, BodySource &, AnswerSink &sink) override
    {
        forwardedTo.push_back(vm);
        if (isReachable) {
            return FakeLocalTargets::answerWith(sink, "from " + vm.text());
        }
        return { Refusal { RefusalReason::NoCapacity, Verdict::NotRun, "unreachable" }, false };
    }
    Result<RequestRecord> requestState(const VmIncarnation &, const RequestKey &, Deadline) override
    {
        return fail(ErrorCode::Unavailable, "unreachable");
    }

    bool isReachable { false };
    std::vector<VmId> forwardedTo;
};

class FakeLoanClient final : public LoanClient
{
public:
    Result<Loan> borrow(const VmId &, const CustomerId &, Tokens, Deadline) override
    {
        return fail(ErrorCode::Unavailable, "no lender");
    }
};

class MemoryBody final : public BodySource
{
public:
    Result<std::size_t> read(std::span<char>) override
    {
        return std::size_t { 0 };
    }
};

class MemorySink final : public AnswerSink
{
public:
    Result<void> start(const AnswerHead &head) override
    {
        status = head.status;
        return check();
    }
    Result<void> write(std::span<const char> bytes) override
    {
        body.append(bytes.data(), bytes.size());
        return check();
    }
    Result<void> finish() override
    {
        isFinished = !isGone;
        return check();
    }
    bool isCancelled() const override
    {
        return isGone;
    }
    Result<void> check() const
    {
        if (isGone) {
            return fail(ErrorCode::Cancelled, "the caller is gone");
        }
        return {};
    }

    int status { 0 };
    std::string body;
    bool isFinished { false };
    bool isGone { false };
};

/// One VM's request handling with fakes around it. The customer may send 1000 requests a second.
struct CallerFixture
{
    CallerFixture()
    {
        Configuration content;
        content.version = ConfigurationVersion(1);
        content.regions[RegionId("cuyo")] = { RegionId("cuyo"), {}, {} };
        content.services[ServiceId("booking")].id = ServiceId("booking");
        content.services[ServiceId("info")].id = ServiceId("info");
        content.services[ServiceId("info")].isOpenToAll = true;
        content.customers[customer] = { customer, 1'000, 1'000, {} };
        content.keys[KeyId("bar-1")] = { KeyId("bar-1"), customer, sha256Hex("secret"), false, {} };
        configuration.set(content);
        roster.add(process, locality);
        limits.policy = LimitPolicy::EqualSplit;
        tracer = Tracer::create("", "test", clock).value();
        limiter = std::make_unique<CustomerLimiter>(process, locality, clock, configuration, roster, loans, limits);
        limiter->refresh(clock.now());
        waitForTokens();
        router = std::make_unique<RegionRouter>(
            RegionRouter::Parts { configuration, roster, targets, peers, clock, metrics, *tracer }, process.vm,
            locality.region);
        entry = std::make_unique<EntryHandler>(
            EntryHandler::Parts { *router, ledger, states, peers, *limiter, serving, clock }, process);
    }

    /// The token bucket of a new process is empty at first and fills only after a while.
    void waitForTokens()
    {
        const Deadline last = Deadline::after(clock.now(), Milliseconds(5'000));
        while (!limiter->admit(customer, last).isAdmitted() && !last.hasPassed(clock.now())) {
            std::this_thread::sleep_for(Milliseconds(10));
        }
        std::this_thread::sleep_for(Milliseconds(50));
    }

    RequestHead booking(const std::string &id) const
    {
        RequestHead head;
        head.service = ServiceId("booking");
        head.customer = customer;
        head.method = "POST";
        head.path = "/bookings";
        head.id = RequestId(id);
        head.isIdempotent = false;
        head.deadline = Deadline::after(clock.now(), Milliseconds(5'000));
        return head;
    }

    ExchangeReport send(const RequestHead &head, MemorySink &sink) const
    {
        MemoryBody body;
        return entry->handleEntry(head, body, sink);
    }

    CustomerId customer { "bar" };
    VmIncarnation process { VmId("vm-1"), Incarnation(7) };
    Locality locality { RegionId("cuyo"), AvailabilityZoneId("cuyo-a") };
    BootClock clock;
    Metrics metrics;
    FakeConfigurationSource configuration;
    FakeRoster roster;
    FakeTableService service;
    FakeLocalTargets targets;
    FakePeers peers;
    FakeLoanClient loans;
    LimitSettings limits;
    std::unique_ptr<Tracer> tracer;
    std::unique_ptr<CustomerLimiter> limiter;
    ClaimTable claims { service };
    ClaimJournal journal { claims, clock };
    RequestLedger ledger { claims, journal, clock, { process } };
    RequestStates states { ledger, peers, process };
    ServingState serving;
    std::unique_ptr<RegionRouter> router;
    std::unique_ptr<EntryHandler> entry;
};

} // namespace Sapphire
