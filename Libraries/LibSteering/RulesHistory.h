#pragma once

#include <LibCore/SourceRevision.h>
#include <LibSteering/ServingRules.h>

namespace Sapphire {

/// When a VM's copy of the operator's rules was last known to be current.
struct RulesConfirmation
{
    TimePoint at {};
    bool isSuperseded { false }; ///< There are newer rules, which this VM lacks or can't read.
    SourceRevision revision {}; ///< The newest one at which the copy is known to have been the platform's.
};

/// The rules in force, where they came from, and the versions by which a refusal can be explained: the one before and
/// the first one since the start of the process.
class RulesHistory
{
public:
    /// Puts a newer version in force. `origin` is the VM that sent it; empty if it was read from the platform. Returns
    /// false, and changes nothing, if the version in force is as new.
    [[nodiscard]] bool apply(const RefPointer<const ServingRules> &rules, const VmId &origin);

    /// The rules in force; null before the first ones.
    const RefPointer<const ServingRules> &current() const
    {
        return m_current;
    }
    /// The VM that sent the rules in force; empty if they were read from the platform.
    const VmId &origin() const
    {
        return m_origin;
    }
    /// Returns the earlier version, of the two that are kept, in which the key was valid; 0 if in none of them.
    ConfigurationVersion earlierVersionWithKey(std::string_view key) const;
    /// Returns the earlier version, of the two that are kept, that had a route for host and path; 0 if none of them.
    ConfigurationVersion earlierVersionWithRoute(std::string_view host, std::string_view path) const;

private:
    template<typename Predicate>
    ConfigurationVersion earlierVersion(Predicate isAllowedBy) const;

    RefPointer<const ServingRules> m_current;
    RefPointer<const ServingRules> m_previous;
    RefPointer<const ServingRules> m_first;
    VmId m_origin;
};

} // namespace Sapphire
