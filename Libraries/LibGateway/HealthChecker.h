#pragma once

#include <LibGateway/TargetRegistry.h>
#include <LibSteering/ServingRules.h>

#include <unordered_map>

namespace Sapphire {

/// Asks targets for their health that are out or may have started anew. Targets that answer requests need no checks.
class HealthChecker
{
public:
    /// `onChecked` is called when a target may take work that took none before, `onDied` when one accepts no
    /// connections or has started anew.
    HealthChecker(EventLoop &loop, const WireNames &names, TargetRegistry &targets,
                  std::function<void(const ServiceId &)> onChecked, std::function<void(const TargetId &)> onDied);
    ~HealthChecker();

    void applyRules(const RefPointer<const ServingRules> &rules);

private:
    class Check;

    void checkDue();
    bool isDue(GatewayTarget &target) const;
    void begin(const RefPointer<GatewayTarget> &target);
    void takeAnswer(GatewayTarget &target, const HttpHead &head);
    void takeFailure(GatewayTarget &target);
    void end(const TargetId &target);

    EventLoop &m_loop;
    const WireNames &m_names;
    TargetRegistry &m_targets;
    std::function<void(const ServiceId &)> m_onChecked;
    std::function<void(const TargetId &)> m_onDied;
    RefPointer<const ServingRules> m_rules;
    std::unordered_map<TargetId, RefPointer<Check>> m_checks; ///< In progress.
    Timer m_timer;
};

} // namespace Sapphire
