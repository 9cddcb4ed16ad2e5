#pragma once

#include <SapphireSlopes/SlopeGroup.h>

namespace Sapphire {

/// Measures the size and parsing time of the platform's list of VMs, which every VM reads, against the number of VMs.
class VmListSlopes final : public SlopeGroup
{
public:
    std::string name() const override
    {
        return "vm-list";
    }
    Result<std::vector<Slope>> measure() override;
};

/// Measures customer limits on one VM with a full-size roster, against the number of customers.
class LimiterSlopes final : public SlopeGroup
{
public:
    std::string name() const override
    {
        return "limiter";
    }
    Result<std::vector<Slope>> measure() override;
};

/// Measures the selection of a target, against the number of targets of a service in a region.
class TargetSlopes final : public SlopeGroup
{
public:
    std::string name() const override
    {
        return "targets";
    }
    Result<std::vector<Slope>> measure() override;
};

/// Measures request ids in memory, against their number.
class LedgerSlopes final : public SlopeGroup
{
public:
    std::string name() const override
    {
        return "ledger";
    }
    Result<std::vector<Slope>> measure() override;
};

} // namespace Sapphire
