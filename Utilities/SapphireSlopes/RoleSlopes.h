#pragma once

#include <SapphireSlopes/SlopeGroup.h>

namespace Sapphire {

/// The platform's list of VMs as every node reads it, against nodes.
class VmListSlopes final : public SlopeGroup
{
public:
    std::string name() const override
    {
        return "vm-list";
    }
    Result<std::vector<Slope>> measure() override;
};

/// Customer limits at one VM of a full-size roster, against customers.
class LimiterSlopes final : public SlopeGroup
{
public:
    std::string name() const override
    {
        return "limiter";
    }
    Result<std::vector<Slope>> measure() override;
};

/// The choice of a target, against the targets of a service in a region.
class TargetSlopes final : public SlopeGroup
{
public:
    std::string name() const override
    {
        return "targets";
    }
    Result<std::vector<Slope>> measure() override;
};

/// Request ids in memory, against their number.
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
