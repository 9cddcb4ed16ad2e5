#pragma once

#include <LibGateway/TargetNoticeReader.h>
#include <LibGateway/TargetRegistry.h>
#include <LibSteering/ServingRules.h>

#include <unordered_map>

namespace Sapphire {

/// Sends health checks to targets that are ejected or may have restarted. Targets that answer requests need no checks.
class HealthChecker
{
public:
    /// `onChecked` is called with the service of a target that has passed a check and may take requests again, `onDied`
    /// with a target that did not answer its check or has restarted.
    HealthChecker(EventLoop &loop, const WireNames &names, TargetRegistry &targets, TargetNoticeReader &noticeReader,
                  std::function<void(const ServiceId &)> onChecked, std::function<void(const TargetId &)> onDied);
    ~HealthChecker();

    void applyRules(const RefPointer<const ServingRules> &rules);

private:
    class Check;

    void checkDue();
    bool isDue(GatewayTarget &target) const;
    void begin(const RefPointer<GatewayTarget> &target);
    bool isFromOther(const GatewayTarget &target, const HttpHead &head) const;
    void takeHead(GatewayTarget &target, std::int64_t startedAtMilliseconds, const HttpHead &head);
    void takeAnswer(GatewayTarget &target, const HttpHead &head);
    void takeFailure(GatewayTarget &target);
    void end(const TargetId &target);

    EventLoop &m_loop;
    const WireNames &m_names;
    TargetRegistry &m_targets;
    TargetNoticeReader &m_noticeReader;
    std::function<void(const ServiceId &)> m_onChecked;
    std::function<void(const TargetId &)> m_onDied;
    RefPointer<const ServingRules> m_rules;
    std::unordered_map<TargetId, RefPointer<Check>> m_checks; ///< In progress.
    Timer m_timer;
};

} // namespace Sapphire
