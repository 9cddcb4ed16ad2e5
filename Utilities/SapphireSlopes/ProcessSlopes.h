#pragma once

#include <LibCore/Deadline.h>
#include <SapphireSlopes/SlopeGroup.h>

namespace Sapphire {

/// How long running fleets are measured at rest and under changes, and how fast the changes come.
struct MeasurementIntervals
{
    Milliseconds rest { 20'000 };
    Milliseconds change { 20'000 };
    double changesPerSecond { 2 };
};

/// Measures running fleets at rest, under changes and at the restart of a VM, against their number of VMs.
class NodeSlopes final : public SlopeGroup
{
public:
    NodeSlopes(std::vector<int> sizes, MeasurementIntervals intervals);

    std::string name() const override
    {
        return "nodes";
    }
    Result<std::vector<Slope>> measure() override;

private:
    std::vector<int> m_sizes;
    MeasurementIntervals m_intervals;
};

/// Measures a running fleet of 12 VMs against the rate of configuration changes.
class ChangeSlopes final : public SlopeGroup
{
public:
    explicit ChangeSlopes(MeasurementIntervals intervals) : m_intervals(intervals)
    {
    }

    std::string name() const override
    {
        return "changes";
    }
    Result<std::vector<Slope>> measure() override;

private:
    MeasurementIntervals m_intervals;
};

/// Measures one VM of a running fleet of 12 against the rate of look-ups that it answers.
class LookUpRateSlopes final : public SlopeGroup
{
public:
    explicit LookUpRateSlopes(MeasurementIntervals intervals) : m_intervals(intervals)
    {
    }

    std::string name() const override
    {
        return "lookup-rate";
    }
    Result<std::vector<Slope>> measure() override;

private:
    MeasurementIntervals m_intervals;
};

/// Measures running fleets of 12 VMs at rest, against their number of targets, which the reports call "sites".
class TargetCountSlopes final : public SlopeGroup
{
public:
    explicit TargetCountSlopes(MeasurementIntervals intervals) : m_intervals(intervals)
    {
    }

    std::string name() const override
    {
        return "sites";
    }
    Result<std::vector<Slope>> measure() override;

private:
    MeasurementIntervals m_intervals;
};

/// Measures running fleets of 12 VMs at rest, against their number of customers.
class CustomerSlopes final : public SlopeGroup
{
public:
    explicit CustomerSlopes(MeasurementIntervals intervals) : m_intervals(intervals)
    {
    }

    std::string name() const override
    {
        return "customers";
    }
    Result<std::vector<Slope>> measure() override;

private:
    MeasurementIntervals m_intervals;
};

} // namespace Sapphire
