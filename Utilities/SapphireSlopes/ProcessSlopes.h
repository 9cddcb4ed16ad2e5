#pragma once

#include <LibCore/Deadline.h>
#include <SapphireSlopes/SlopeGroup.h>

namespace Sapphire {

/// Intervals of the measurements of running fleets.
struct ProcessIntervals
{
    Milliseconds rest { 20'000 };
    Milliseconds change { 20'000 };
    double changesPerSecond { 2 };
};

/// Running fleets against their nodes: at rest, under changes, and a start.
class NodeSlopes final : public SlopeGroup
{
public:
    NodeSlopes(std::vector<int> sizes, ProcessIntervals intervals);

    std::string name() const override
    {
        return "nodes";
    }
    Result<std::vector<Slope>> measure() override;

private:
    std::vector<int> m_sizes;
    ProcessIntervals m_intervals;
};

/// A running fleet of 12 VMs against the changes a second.
class ChangeSlopes final : public SlopeGroup
{
public:
    explicit ChangeSlopes(ProcessIntervals intervals) : m_intervals(intervals)
    {
    }

    std::string name() const override
    {
        return "changes";
    }
    Result<std::vector<Slope>> measure() override;

private:
    ProcessIntervals m_intervals;
};

/// A VM of a running fleet of 12 against the look-ups a second that it answers.
class LookUpRateSlopes final : public SlopeGroup
{
public:
    explicit LookUpRateSlopes(ProcessIntervals intervals) : m_intervals(intervals)
    {
    }

    std::string name() const override
    {
        return "lookup-rate";
    }
    Result<std::vector<Slope>> measure() override;

private:
    ProcessIntervals m_intervals;
};

/// Running fleets of 12 VMs at rest against their targets.
class SiteSlopes final : public SlopeGroup
{
public:
    explicit SiteSlopes(ProcessIntervals intervals) : m_intervals(intervals)
    {
    }

    std::string name() const override
    {
        return "sites";
    }
    Result<std::vector<Slope>> measure() override;

private:
    ProcessIntervals m_intervals;
};

/// Running fleets of 12 VMs at rest against their customers.
class CustomerSlopes final : public SlopeGroup
{
public:
    explicit CustomerSlopes(ProcessIntervals intervals) : m_intervals(intervals)
    {
    }

    std::string name() const override
    {
        return "customers";
    }
    Result<std::vector<Slope>> measure() override;

private:
    ProcessIntervals m_intervals;
};

} // namespace Sapphire
