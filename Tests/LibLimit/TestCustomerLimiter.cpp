#include "LimitFixtures.h"

#include <LibCore/BootClock.h>
#include <LibCore/ManualClock.h>
#include <LibLimit/CustomerLimiter.h>

#include <doctest/doctest.h>

#include <thread>

using namespace Sapphire;
using namespace Sapphire::LimitTest;

namespace {

const CustomerId customer("c");
const VmIncarnation self { VmId("vm-0"), Incarnation(1) };

struct Fixture
{
    explicit Fixture(LimitPolicy policy = LimitPolicy::Shares)
        : limiter(self, StubRoster::localityOf(0), clock, configuration, roster, loans, settingsFor(policy))
    {
        configuration.setCustomer(customer, 10, 30);
    }

    Admission admit(Milliseconds time = Milliseconds(500))
    {
        return limiter.admit(customer, Deadline::after(clock.now(), time));
    }
    void fill(Share share)
    {
        limiter.applyShare(customer, self, share, clock.now());
        clock.advance(Milliseconds(60'000));
    }

    static LimitSettings settingsFor(LimitPolicy policy)
    {
        LimitSettings settings;
        settings.policy = policy;
        // The manual clock does not advance while a request waits.
        settings.longestTokenWait = Milliseconds(0);
        return settings;
    }

    ManualClock clock;
    StubConfiguration configuration;
    StubRoster roster { 9 };
    StubLoanClient loans;
    CustomerLimiter limiter;
};

} // namespace

TEST_CASE("requests take tokens of the own bucket, then are refused with a retry time")
{
    // Guards against admissions beyond the share, and a refusal that does not say when to retry.
    Fixture fixture;
    fixture.fill(Share(100'000));
    for (int i = 0; i < 3; ++i) {
        CHECK(fixture.admit().isAdmitted());
    }
    const Admission refused = fixture.admit();
    CHECK(refused.kind == Admission::Kind::RateExceeded);
    CHECK(refused.nextTokenAt.remaining(fixture.clock.now()) <= Milliseconds(1'000));
    CHECK(fixture.limiter.admit(CustomerId("x"), Deadline::never()).kind == Admission::Kind::UnknownCustomer);
}

TEST_CASE("a VM that is retired or not fresh neither admits nor lends")
{
    // Guards against a resumed or cut-off VM that uses a share that other VMs have taken.
    Fixture fixture;
    fixture.fill(wholeShare);
    const auto lend = [&] {
        const auto loan = capture([&] {
            return fixture.limiter.lend(customer, Tokens(1), { VmId("vm-1"), Incarnation(1) }, fixture.clock.now());
        });
        return loan && loan.value().tokens.value() > 0;
    };
    CHECK(lend());
    fixture.configuration.isFreshNow = false;
    CHECK(fixture.admit().kind == Admission::Kind::NotFresh);
    CHECK(fixture.limiter.admit(CustomerId("new"), Deadline::never()).kind == Admission::Kind::NotFresh);
    CHECK_FALSE(lend());
    fixture.configuration.isFreshNow = true;
    CHECK(fixture.admit().isAdmitted());
    fixture.configuration.change([](Configuration &configuration) {
        configuration.retired[self.vm] = self.incarnation;
    });
    CHECK(fixture.admit().kind == Admission::Kind::NotFresh);
    CHECK_FALSE(lend());
}

TEST_CASE("a VM without tokens borrows in its own region first, and in others if there is time")
{
    // Guards against remote loans where a local one suffices, and loans that arrive after the request's deadline.
    Fixture fixture;
    fixture.limiter.refresh(fixture.clock.now());
    std::vector<VmId> asked;
    fixture.loans.answer = [&](const VmId &lender, const CustomerId &, Tokens, Deadline) -> Result<Loan> {
        asked.push_back(lender);
        return Loan { customer, Tokens(0), {}, Deadline::after(fixture.clock.now(), Milliseconds(900)) };
    };
    const std::vector<VmId> homes = fixture.limiter.homeVms(customer);
    REQUIRE(homes.size() == 3);
    CHECK_FALSE(fixture.admit(Milliseconds(100)).isAdmitted());
    CHECK(asked.size() <= 1);
    fixture.clock.advance(Milliseconds(5'000));
    asked.clear();
    CHECK_FALSE(fixture.admit().isAdmitted());
    CHECK(asked.size() >= 2);
    if (homes.front() != self.vm) {
        CHECK(asked.front() == homes.front());
    }
    asked.clear();
    CHECK_FALSE(fixture.admit().isAdmitted());
    CHECK(asked.empty());
}

TEST_CASE("requests that need the same lender share one call")
{
    // Guards against a call for each waiting request, and a waiting request that gets no token of the loan.
    const BootClock clock;
    StubConfiguration configuration;
    configuration.setCustomer(customer, 1'000, 1'000);
    const StubRoster roster(2);
    StubLoanClient loans;
    std::atomic<int> inFlight { 0 };
    std::atomic<int> mostInFlight { 0 };
    loans.answer = [&](const VmId &, const CustomerId &, Tokens wanted, Deadline) -> Result<Loan> {
        mostInFlight = std::max(mostInFlight.load(), ++inFlight);
        std::this_thread::sleep_for(Milliseconds(20));
        --inFlight;
        return Loan { customer, wanted, Deadline::after(clock.now(), Milliseconds(2'000)), {} };
    };
    CustomerLimiter limiter(self, StubRoster::localityOf(0), clock, configuration, roster, loans, {});
    std::atomic<int> admitted { 0 };
    std::vector<std::thread> threads;
    threads.reserve(16);
    for (int i = 0; i < 16; ++i) {
        threads.emplace_back([&] {
            const Admission admission = limiter.admit(customer, Deadline::after(clock.now(), Milliseconds(5'000)));
            admitted += admission.isAdmitted() ? 1 : 0;
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(admitted == 16);
    CHECK(mostInFlight == 1);
    CHECK(loans.calls < 16);
}

TEST_CASE("a lender keeps tokens for its own requests")
{
    // Guards against a borrower that empties the bucket of a VM that has requests of its own.
    Fixture fixture;
    fixture.fill(wholeShare);
    const VmIncarnation borrower { VmId("vm-3"), Incarnation(1) };
    for (int i = 0; i < 20; ++i) {
        CHECK(fixture.admit().isAdmitted());
    }
    fixture.clock.advance(Milliseconds(10'000));
    const auto loan = capture([&] {
        return fixture.limiter.lend(customer, Tokens(1'000), borrower, fixture.clock.now());
    });
    REQUIRE(loan);
    CHECK(loan.value().tokens.value() >= 25);
    CHECK(loan.value().tokens.value() < 30);
    CHECK(fixture.admit().isAdmitted());
}

TEST_CASE("equalSplit gives each listed VM the same part")
{
    // Guards against a baseline for comparisons that is not an equal split.
    Fixture fixture(LimitPolicy::EqualSplit);
    fixture.limiter.refresh(fixture.clock.now());
    CHECK(fixture.limiter.share(customer) == Share(111'111));
    fixture.clock.advance(Milliseconds(60'000));
    int admitted = 0;
    while (fixture.admit().isAdmitted()) {
        ++admitted;
    }
    CHECK(admitted == 3);
    CHECK(fixture.loans.calls == 0);
}

TEST_CASE("errors in settings name the member")
{
    // Guards against a misspelled policy that silently becomes the default.
    const auto faults = capture([]() -> Result<void> {
        BOOST_LEAF_AUTO(reader, SettingsReader::create(R"({"policy":"equal","tokenWaitMs":5})"));
        static_cast<void>(LimitSettings::read(reader));
        return reader.finish();
    });
    REQUIRE_FALSE(faults);
    CHECK(faults.error().message.find("policy: found equal, expected shares or equalSplit") != std::string::npos);
    CHECK(faults.error().message.find("tokenWaitMs: unknown member") != std::string::npos);
}
