#pragma once

#include <SapphireLoad/LoadCaller.h>
#include <SapphireLoad/LoadReport.h>

#include <functional>

namespace Sapphire {

/// Runs a plan as an open loop: requests start at random times whether or not earlier ones were answered.
/// Latencies count from the intended start, so a run with too few workers shows as latency.
class LoadRun
{
public:
    explicit LoadRun(LoadPlan plan);

    /// Blocks until the last request has ended. The observer is called after each call, from several threads, with the
    /// request id without an issued prefix.
    void run(LoadReport &report,
             const std::function<void(const std::string &idSuffix, const LoadAnswer &)> &observer = {});

private:
    struct Arrival
    {
        TimePoint at;
        std::size_t customer;
        std::size_t route;
        std::size_t origin;
        bool isInsideRate;
        std::uint64_t number;
    };

    std::vector<Arrival> plannedArrivals(TimePoint start) const;

    LoadPlan m_plan;
};

} // namespace Sapphire
