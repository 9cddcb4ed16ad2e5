#include <LibSteering/ColdStartLimiter.h>
#include <LibSteering/ServiceRetryBudget.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };

/// Returns the most times that lie in any window of the given length.
std::size_t mostInWindow(const std::vector<TimePoint> &times, Milliseconds window)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace

TEST_CASE("The owners of a cold target together send no more than it can take")
{
    // Guards against a target that fails because each VM keeps to the whole limit by itself.
    for (const double rate : { 1.0, 2.6, 9.5, 40.0 }) {
        const ColdStartSettings settings { 1.5, 5 };
        const int owners = ColdStartLimiter::ownerCount(rate, settings);
        std::vector<ColdStartLimiter> limiters(static_cast<std::size_t>(owners));
        for (ColdStartLimiter &limiter : limiters) {
            limiter.configure(rate, settings, true);
        }
        std::vector<TimePoint> sent;
        for (int i = 0; i < 5'000; ++i) {
            const TimePoint now = start + Milliseconds(i);
            for (ColdStartLimiter &limiter : limiters) {
                if (limiter.maySend(now)) {
                    limiter.noteSent(now);
                    sent.push_back(now);
                }
            }
        }
        CAPTURE(rate);
        CHECK(!sent.empty());
        CHECK(static_cast<double>(mostInWindow(sent, Milliseconds(1'000))) <= rate * settings.overage + settings.slack);
    }
}

TEST_CASE("A VM that is no owner sends nothing to a cold target")
{
    // Guards against requests beyond those that the owners have divided among them.
    ColdStartLimiter limiter;
    CHECK(!limiter.maySend(start));
    limiter.configure(9.5, { 1.5, 5 }, false);
    CHECK(!limiter.maySend(start));
}

TEST_CASE("ServiceRetryBudget allows retries of a fraction of the requests and its slack in any window")
{
    // Guards against retries that multiply an overload.
    ServiceRetryBudget budget({ 0.2, 3, Milliseconds(10'000) });
    const ServiceId service("s");
    std::vector<TimePoint> retries;
    TimePoint now = start;
    for (int i = 0; i < 4'000; ++i) {
        now += Milliseconds(10);
        budget.noteRequest(service, now);
        if (budget.mayRetry(service, now)) {
            budget.noteRetry(service, now);
            retries.push_back(now);
        }
    }
    CHECK(mostInWindow(retries, Milliseconds(10'000)) <= 0.2 * 1'001 + 3);
    CHECK(mostInWindow(retries, Milliseconds(10'000)) >= 0.2 * 990);
    CHECK(!ServiceRetryBudget({ 0.2, 0, Milliseconds(10'000) }).mayRetry(service, now));
}
