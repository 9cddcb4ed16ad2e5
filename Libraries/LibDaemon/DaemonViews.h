#pragma once

#include <LibCaller/RegionRouter.h>
#include <LibDaemon/ObservationExchange.h>
#include <LibLimit/CustomerLimiter.h>
#include <LibOperator/OperatorViews.h>

namespace Sapphire {

/// Shows operators the limits, usage of regions, weights and target states that this VM knows.
class DaemonViews final : public OperatorViews
{
public:
    struct Parts
    {
        const ConfigurationSource &configuration;
        const CustomerLimiter &limiter;
        const RegionRouter &router;
        const ObservationExchange &observations;
        const Clock &clock;
    };

    explicit DaemonViews(Parts parts) : m_parts(parts)
    {
    }

    Table limits(const CustomerId &customer) const override;
    Table rooms(const ServiceId &service) const override;
    Table weights(const ServiceId &service) const override;
    Table targetState(const TargetId &target) const override;
    std::vector<VmId> homeVms(const CustomerId &customer) const override;

private:
    Parts m_parts;
};

} // namespace Sapphire
