#include <LibSteering/TargetRateLimit.h>

#include <LibCore/RandomSource.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };
constexpr Milliseconds step { 50 };
constexpr std::chrono::seconds window { 4 };

/// What a target may get in a window: one and a half times its limit, and five requests.
double mostInWindow(double limit)
{
    return 1.5 * limit * 4 + 5;
}

/// VMs that learned of a target's limit in the same second, and share it evenly.
class LimitedFleet
{
public:
    LimitedFleet(int vms, double limit, std::uint64_t seed) : m_limits(static_cast<std::size_t>(vms))
    {
        RandomSource random(seed);
        for (TargetRateLimit &vm : m_limits) {
            const TimePoint learnedAt = start + Milliseconds(static_cast<int>(random.unit() * 1'000));
            vm.noteNamed(limit, random.unit(), learnedAt);
            vm.setShare(1.0 / vms, learnedAt);
        }
    }

    /// All VMs send as much as they may for the time. Returns the most requests in any window.
    std::size_t load(TimePoint from, std::chrono::seconds time)
    {
        std::vector<TimePoint> sent;
        std::size_t most = 0;
        std::size_t first = 0;
        for (TimePoint now = from; now < from + time; now += step) {
            for (TargetRateLimit &vm : m_limits) {
                while (vm.maySend(now)) {
                    vm.noteSent(now);
                    sent.push_back(now);
                }
            }
            while (first < sent.size() && sent[first] <= now - window) {
                ++first;
            }
            most = std::max(most, sent.size() - first);
        }
        m_sent = sent.size();
        return most;
    }
    /// Requests that the last load sent.
    std::size_t sent() const
    {
        return m_sent;
    }

private:
    std::vector<TargetRateLimit> m_limits;
    std::size_t m_sent { 0 };
};

} // namespace

TEST_CASE("VMs that know a target's limit keep to it together, also after a calm time")
{
    // Guards against VMs that each keep to the whole limit, and against allowances that are saved up and spent at once.
    for (const int vms : { 1, 5, 25, 123, 730 }) {
        for (const double limit : { 0.5, 1.0, 3.7, 20.0, 400.0 }) {
            for (std::uint64_t seed = 1; seed <= 20; ++seed) {
                LimitedFleet fleet(vms, limit, seed);
                CAPTURE(vms);
                CAPTURE(limit);
                CAPTURE(seed);
                CHECK(static_cast<double>(fleet.load(start + std::chrono::seconds(1), std::chrono::seconds(20)))
                      <= mostInWindow(limit));
                CHECK(static_cast<double>(fleet.load(start + std::chrono::seconds(60), std::chrono::seconds(20)))
                      <= mostInWindow(limit));
            }
        }
    }
}

TEST_CASE("VMs that have requests use most of a target's limit")
{
    // Guards against a limit that refuses callers whom the target would have served.
    constexpr double limit = 4;
    constexpr std::chrono::seconds time { 60 };
    LimitedFleet fleet(25, limit, 1);
    fleet.load(start + std::chrono::seconds(1), time);
    CHECK(static_cast<double>(fleet.sent()) >= 0.7 * limit * static_cast<double>(time.count()));
}

TEST_CASE("TargetRateLimit ends with the answer that names no limit, and never stops a target altogether")
{
    // Guards against a VM that goes on sparing a target that has recovered, or that never asks it again.
    TargetRateLimit limit;
    CHECK(limit.maySend(start));
    CHECK(limit.noteNamed(0, 0, start));
    CHECK_FALSE(limit.noteNamed(0, 0.5, start));
    CHECK_FALSE(limit.maySend(start));
    int sent = 0;
    for (TimePoint now = start; now < start + std::chrono::seconds(60); now += step) {
        if (limit.maySend(now)) {
            limit.noteSent(now);
            ++sent;
        }
    }
    CHECK(sent >= 1);
    CHECK(limit.noteNamed(std::nullopt, 0, start + std::chrono::seconds(60)));
    CHECK(limit.maySend(start + std::chrono::seconds(60)));
}
