#pragma once

#include <LibEntry/PlatformSources.h>

namespace Sapphire {

/// Keeps zones evacuated that the platform has lost in a return from an older copy, until the operators have written
/// them again or for a limited time, since an evacuation's end in the lost time leaves no trace. Also tells whether the
/// platform's configuration is older than one before; the gateway keeps the newer one in force (RulesHistory).
class OperatorStateGuard
{
public:
    /// Takes a state in the order of its revisions and returns it with the evacuations that are to be in force.
    OperatorState take(const OperatorState &state, TimePoint now);
    /// Returns whether kept evacuations have run out, so that the last state must be taken again.
    bool mustRelease(TimePoint now) const
    {
        return !m_keptZones.empty() && m_rewriteDeadline.hasPassed(now);
    }
    /// Returns whether the platform has lost the newest configuration, and the operators may still write it again.
    bool isAwaitingRewrite(TimePoint now) const
    {
        return m_isConfigurationLost && !m_rewriteDeadline.hasPassed(now);
    }
    /// The platform's epoch of the state that was taken last.
    SourceEpoch epoch() const
    {
        return m_epoch;
    }

private:
    /// Starts to keep the zones that the platform no longer lists in its new epoch.
    void keepLostZones(const OperatorState &state, TimePoint now);

    SourceEpoch m_epoch;
    ConfigurationVersion m_newestConfiguration;
    bool m_isConfigurationLost { false };
    std::set<AvailabilityZoneId> m_zones; ///< Evacuated, as last returned.
    std::set<AvailabilityZoneId> m_keptZones;
    Deadline m_rewriteDeadline;
};

} // namespace Sapphire
