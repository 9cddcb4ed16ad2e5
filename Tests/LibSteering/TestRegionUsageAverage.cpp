#include <Fakes/DirectionChanges.h>
#include <LibSteering/RegionSteering.h>
#include <LibSteering/RegionUsageAverage.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <vector>

using namespace Sapphire;

namespace {

/// Smaller steps between samples are caused by the random (Poisson) arrivals alone.
constexpr double leastChange = 0.1;

const RegionId cuyo("cuyo");
const RegionId pampa("pampa");
const ServiceId status("status");

// The load of Tests/Integration/TestRegionOverload.cpp: cuyo has lost its targets, and pampa has 12 slots, half of
// which its own callers use.
constexpr int slots = 12;
constexpr double ownPerSecond = 60;
constexpr double sentPerSecond = 120;
constexpr Milliseconds workTime { 100 };
constexpr Milliseconds step { 10 };
constexpr Milliseconds noteInterval { 500 };
constexpr Milliseconds reportInterval { 2'000 };
constexpr Milliseconds sampleTime { 2'500 };
constexpr Milliseconds simulatedTime { 20'000 };
constexpr std::size_t sendingVms = 3;
constexpr double shiftedFraction = 0.2;

/// Requests that pampa runs, by the time at which they end.
class RunningRequests
{
public:
    void endAll(TimePoint now, RegionSteering &steering)
    {
        std::erase_if(m_own, [now](TimePoint end) {
            return end <= now;
        });
        std::erase_if(m_shifted, [now, &steering](TimePoint end) {
            if (end <= now) {
                steering.finished(pampa, false);
            }
            return end <= now;
        });
    }
    void addOwn(TimePoint now)
    {
        m_own.push_back(now + workTime);
    }
    void addShifted(TimePoint now)
    {
        m_shifted.push_back(now + workTime);
    }
    int count() const
    {
        return static_cast<int>(m_own.size() + m_shifted.size());
    }

private:
    std::vector<TimePoint> m_own;
    std::vector<TimePoint> m_shifted;
};

bool arrives(double perSecond, RandomSource &random)
{
    return random.unit() < perSecond * std::chrono::duration<double>(step).count();
}

/// Simulates a constant rate of requests from cuyo, a fifth of which has shifted to pampa. Returns for each sample the
/// fraction of the requests that pampa ran.
std::vector<double> simulateRequests(std::uint64_t seed)
{
    RandomSource random(seed);
    RegionSteeringSettings settings { cuyo, { pampa } };
    settings.shiftCap = Share(static_cast<std::int64_t>(shiftedFraction * static_cast<double>(wholeShare.value())));
    settings.shiftInterval = Milliseconds(3'600'000);
    RegionSteering steering(settings);
    const RegionUsage lostUsage { cuyo, status, {}, 0, 0 };
    steering.adjust({ { lostUsage, { pampa, status, {}, slots, 0 } }, sendingVms, false }, TimePoint {}, random);
    TimePoint now = TimePoint {} + settings.shiftInterval;
    const TimePoint start = now;
    RunningRequests running;
    RegionUsageAverage average;
    RegionUsage reported { pampa, status, now, slots, 6 };
    std::vector<double> shifted(static_cast<std::size_t>(simulatedTime / sampleTime), 0);
    for (; now - start < simulatedTime; now += step) {
        running.endAll(now, steering);
        if (arrives(ownPerSecond, random) && running.count() < slots) {
            running.addOwn(now);
        }
        const RegionUsage usage { pampa, status, now, slots, running.count() };
        if ((now - start) % noteInterval == Microseconds::zero()) {
            average.note(usage);
            steering.adjust({ { lostUsage, reported }, sendingVms, false }, now, random);
        }
        if ((now - start) % reportInterval == Microseconds::zero()) {
            reported = average.smoothed(usage);
        }
        if (!arrives(sentPerSecond, random)) {
            continue;
        }
        const RegionId chosen = steering.choose(random).region;
        if (chosen == pampa && running.count() < slots) {
            running.addShifted(now);
            shifted[static_cast<std::size_t>((now - start) / sampleTime)] += 1;
        } else {
            steering.finished(chosen, true);
        }
    }
    const double requests = sentPerSecond * std::chrono::duration<double>(sampleTime).count();
    for (double &count : shifted) {
        count /= requests;
    }
    return shifted;
}

} // namespace

TEST_CASE("Requests shifted to a region with capacity don't oscillate with the moments at which its usage was reported")
{
    // Guards against requests that stop and resume because a report shows the busy slots of one moment for seconds, and
    // a sender allows itself what it had running at one moment: 25 of these 200 runs oscillated then.
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        const std::vector<double> fractions = simulateRequests(seed);
        CHECK(directionChanges(fractions, leastChange) == 0);
        CHECK(*std::max_element(fractions.begin(), fractions.end()) > shiftedFraction / 2);
    }
}

TEST_CASE("RegionUsageAverage follows a lasting change and counts no more busy slots than there are")
{
    // Guards against an average that still shows free slots in a region that has filled, or counts removed slots.
    RegionUsageAverage average;
    TimePoint now { Milliseconds(1'000) };
    for (int i = 0; i < 20; ++i, now += noteInterval) {
        average.note({ pampa, status, now, slots, 2 });
    }
    CHECK(average.smoothed({ pampa, status, now, slots, 11 }).busy == 2);
    for (int i = 0; i < 20; ++i, now += noteInterval) {
        average.note({ pampa, status, now, slots, 11 });
    }
    CHECK(average.smoothed({ pampa, status, now, slots, 2 }).busy == 11);
    CHECK(average.smoothed({ pampa, status, now, 4, 2 }).busy == 4);
}
