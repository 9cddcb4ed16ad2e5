#include <LibSteering/LoanTracker.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint(Milliseconds(milliseconds));
}

Loan loan(int tokens, int deadline, int nextTokenAt)
{
    return { CustomerId("c"), Tokens(tokens), Deadline(at(deadline)), Deadline(at(nextTokenAt)) };
}

const VmId lender("vm-1");

} // namespace

TEST_CASE("borrowed tokens expire at their deadline")
{
    // Guards against tokens that are used after the lender has refilled its bucket.
    LoanTracker tracker;
    tracker.takeAnswer(lender, Tokens(3), loan(3, 100, 0), at(0));
    CHECK(tracker.take(at(99)));
    CHECK(tracker.tokens(at(99)) == Tokens(2));
    CHECK_FALSE(tracker.take(at(100)));
    tracker.takeAnswer(lender, Tokens(1), loan(1, 100, 0), at(101));
    CHECK_FALSE(tracker.take(at(101)));
}

TEST_CASE("a lender that had too few tokens is not asked until it expects one")
{
    // Guards against one call for each request of a customer far above its rate.
    LoanTracker tracker({ .shortestPause = Milliseconds(50), .longestPause = Milliseconds(400) });
    tracker.takeAnswer(lender, Tokens(1), loan(0, 0, 300), at(0));
    CHECK_FALSE(tracker.mayAsk(lender, at(299)));
    CHECK(tracker.mayAsk(lender, at(300)));
    CHECK(tracker.nextTokenAt(at(0)) == Deadline(at(300)));
    CHECK(tracker.mayAsk(VmId("vm-2"), at(0)));
}

TEST_CASE("pauses double and stay bounded")
{
    // Guards against a lender that is asked all the time, and one that is never asked again.
    LoanTracker tracker({ .shortestPause = Milliseconds(50),
                          .longestPause = Milliseconds(400),
                          .longestAnnouncedPause = Milliseconds(1'000) });
    int now = 0;
    for (const int pause : { 50, 100, 200, 400, 400 }) {
        tracker.takeFailure(lender, at(now));
        CHECK_FALSE(tracker.mayAsk(lender, at(now + pause - 1)));
        CHECK(tracker.mayAsk(lender, at(now + pause)));
        now += pause;
    }
    tracker.takeAnswer(lender, Tokens(1), loan(0, 0, 1'000'000), at(now));
    CHECK(tracker.mayAsk(lender, at(now + 1'000)));
}

TEST_CASE("calls a second are bounded")
{
    // Guards against one customer that uses up the processor time meant for calls.
    LoanTracker tracker({ .callsPerSecond = 10 });
    int calls = 0;
    for (int now = 0; now < 10'000; ++now) {
        calls += tracker.beginCall(at(now)) ? 1 : 0;
    }
    CHECK(calls <= 110);
    CHECK(calls >= 90);
}
