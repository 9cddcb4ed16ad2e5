#include <Fakes/DirectionChanges.h>
#include <LibSteering/RegionSteering.h>
#include <LibSteering/RegionUsageAverage.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <vector>

using namespace Sapphire;

namespace {

/// Poisson arrivals make smaller steps between samples by themselves.
constexpr double leastChange = 0.1;

const RegionId cuyo("cuyo");
const RegionId pampa("pampa");
const ServiceId status("status");

// The load of Tests/Integration/TestRegionOverload.cpp: cuyo has lost its targets, and pampa has 12 slots, of which its
// own callers use half.
constexpr int slots = 12;
constexpr double neighbourPerSecond = 60;
constexpr double callerPerSecond = 120;
constexpr Milliseconds workTime { 100 };
constexpr Milliseconds step { 10 };
constexpr Milliseconds noteInterval { 500 };
constexpr Milliseconds statementInterval { 2'000 };
constexpr Milliseconds sampleTime { 2'500 };
constexpr Milliseconds playedTime { 20'000 };
constexpr std::size_t sendingVms = 3;
constexpr double movedShare = 0.2;

/// Requests that pampa runs, by their end.
class RunningRequests
{
public:
    void endAll(TimePoint now, RegionSteering &steering)
    {
        std::erase_if(m_own, [now](TimePoint end) {
            return end <= now;
        });
        std::erase_if(m_moved, [now, &steering](TimePoint end) {
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
    void addMoved(TimePoint now)
    {
        m_moved.push_back(now + workTime);
    }
    int count() const
    {
        return static_cast<int>(m_own.size() + m_moved.size());
    }

private:
    std::vector<TimePoint> m_own;
    std::vector<TimePoint> m_moved;
};

bool arrives(double perSecond, RandomSource &random)
{
    return random.unit() < perSecond * std::chrono::duration<double>(step).count();
}

/// Plays a steady flow from cuyo of which a fifth has moved to pampa. Returns the share that pampa ran, by sample.
std::vector<double> playFlow(std::uint64_t seed)
{
    RandomSource random(seed);
    RegionSteeringSettings settings { cuyo, { pampa } };
    settings.shiftCap = Share(static_cast<std::int64_t>(movedShare * static_cast<double>(wholeShare.value())));
    settings.shiftInterval = Milliseconds(3'600'000);
    RegionSteering steering(settings);
    const RegionRoom lost { cuyo, status, {}, 0, 0 };
    steering.adjust({ { lost, { pampa, status, {}, slots, 0 } }, sendingVms, false }, TimePoint {}, random);
    TimePoint now = TimePoint {} + settings.shiftInterval;
    const TimePoint start = now;
    RunningRequests running;
    RegionUsageAverage average;
    RegionRoom stated { pampa, status, now, slots, 6 };
    std::vector<double> moved(static_cast<std::size_t>(playedTime / sampleTime), 0);
    for (; now - start < playedTime; now += step) {
        running.endAll(now, steering);
        if (arrives(neighbourPerSecond, random) && running.count() < slots) {
            running.addOwn(now);
        }
        const RegionRoom room { pampa, status, now, slots, running.count() };
        if ((now - start) % noteInterval == Microseconds::zero()) {
            average.note(room);
            steering.adjust({ { lost, stated }, sendingVms, false }, now, random);
        }
        if ((now - start) % statementInterval == Microseconds::zero()) {
            stated = average.stated(room);
        }
        if (!arrives(callerPerSecond, random)) {
            continue;
        }
        const RegionId chosen = steering.choose(random).region;
        if (chosen == pampa && running.count() < slots) {
            running.addMoved(now);
            moved[static_cast<std::size_t>((now - start) / sampleTime)] += 1;
        } else {
            steering.finished(chosen, true);
        }
    }
    const double requests = callerPerSecond * std::chrono::duration<double>(sampleTime).count();
    for (double &count : moved) {
        count /= requests;
    }
    return moved;
}

} // namespace

TEST_CASE("A flow to a region with room doesn't swing with the moments at which the room was stated")
{
    // Guards against a flow that stops and goes because a statement holds one moment's busy slots for seconds, and a
    // sender allows itself what it had running at one moment: 25 of these 200 runs swung then.
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        const std::vector<double> shares = playFlow(seed);
        CHECK(directionChanges(shares, leastChange) == 0);
        CHECK(*std::max_element(shares.begin(), shares.end()) > movedShare / 2);
    }
}

TEST_CASE("RoomAverage follows a lasting change and counts no more busy slots than there are")
{
    // Guards against an average that goes on promising room in a region that has filled, or claims slots that are gone.
    RegionUsageAverage average;
    TimePoint now { Milliseconds(1'000) };
    for (int i = 0; i < 20; ++i, now += noteInterval) {
        average.note({ pampa, status, now, slots, 2 });
    }
    CHECK(average.stated({ pampa, status, now, slots, 11 }).busy == 2);
    for (int i = 0; i < 20; ++i, now += noteInterval) {
        average.note({ pampa, status, now, slots, 11 });
    }
    CHECK(average.stated({ pampa, status, now, slots, 2 }).busy == 11);
    CHECK(average.stated({ pampa, status, now, 4, 2 }).busy == 4);
}
