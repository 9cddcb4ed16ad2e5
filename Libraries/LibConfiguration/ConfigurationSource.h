#pragma once

#include <LibConfiguration/Configuration.h>

#include <memory>

namespace Sapphire {

/// Whether a change is in force, and which VMs are known not to have it.
struct InForceStatus
{
    bool isInForce { false };
    std::vector<VmId> unconfirmed; ///< VMs that have not confirmed the version.
};

/// Read access to this VM's configuration for the code that serves requests. Safe to call from any thread.
class ConfigurationSource
{
public:
    virtual ~ConfigurationSource() = default;

    /// Returns the newest configuration that this VM has; the version never decreases.
    virtual std::shared_ptr<const Configuration> configuration() const = 0;
    /// Returns whether this VM may serve keyed routes, that is, it can't have missed a change that is in force.
    virtual bool isFresh(TimePoint now) const = 0;
    /// Returns whether the key is withdrawn, in the configuration or by a withdrawal that is not in the log yet.
    virtual bool isWithdrawn(const KeyId &key) const = 0;
    virtual InForceStatus inForceStatus(ConfigurationVersion version, TimePoint now) const = 0;
};

} // namespace Sapphire
