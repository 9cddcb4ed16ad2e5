#pragma once

#include <LibConfiguration/Configuration.h>

#include <memory>

namespace Sapphire {

/// How far a change has spread.
struct InForceStatus
{
    bool isInForce { false };
    std::vector<VmId> unconfirmed; ///< VMs that have not confirmed it.
};

/// The configuration of this VM as the code that serves requests sees it. Safe to call from any thread.
class ConfigurationSource
{
public:
    virtual ~ConfigurationSource() = default;

    /// Returns the newest configuration that this VM has; it never goes back to an older version.
    virtual std::shared_ptr<const Configuration> configuration() const = 0;
    /// Returns whether this VM may serve keyed routes: it can't have missed a change that is in force.
    virtual bool isFresh(TimePoint now) const = 0;
    /// Returns whether the key is withdrawn, in the configuration or by a withdrawal that is not durable yet.
    virtual bool isWithdrawn(const KeyId &key) const = 0;
    virtual InForceStatus inForceStatus(ConfigurationVersion version, TimePoint now) const = 0;
};

} // namespace Sapphire
