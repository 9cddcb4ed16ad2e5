#pragma once

#include <LibCore/Ids.h>
#include <LibOperator/Table.h>

namespace Sapphire {

/// Tables of what the answering VM knows beyond the configuration. Safe to call from any thread.
class OperatorViews
{
public:
    virtual ~OperatorViews() = default;

    virtual Table limits(const CustomerId &customer) const = 0; ///< Of all customers if it is empty.
    /// Slots and busy slots of regions. Of all services if it is empty.
    virtual Table rooms(const ServiceId &service) const = 0;
    virtual Table weights(const ServiceId &service) const = 0; ///< Of all services if it is empty.
    virtual Table targetState(const TargetId &target) const = 0;
    virtual std::vector<VmId> homeVms(const CustomerId &customer) const = 0;
};

} // namespace Sapphire
