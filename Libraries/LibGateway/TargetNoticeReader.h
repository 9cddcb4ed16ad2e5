#pragma once

#include <LibCore/Metrics.h>
#include <LibGateway/GatewayTarget.h>

#include <set>

namespace Sapphire {

/// Takes from the heads of targets' answers what they say about their use: that the target is leaving, or that it
/// wants no requests for a while. Logs and counts each notice, and logs the end of each pause.
class TargetNoticeReader
{
public:
    TargetNoticeReader(EventLoop &loop, const WireNames &names, Metrics &metrics);

    /// Reads the head of an answer of the target to a request or a health check, which `source` names in the log.
    /// `startedAtMilliseconds` tells the incarnation to which that was sent.
    void read(GatewayTarget &target, std::int64_t startedAtMilliseconds, const HttpHead &head, std::string_view source);
    /// Whether the answer turns its request away for a while.
    static bool isTurnedAway(const HttpHead &head);
    /// Logs the pauses that have ended. To be called regularly.
    void logEnds();

private:
    void readPause(GatewayTarget &target, std::int64_t startedAtMilliseconds, const HttpHead &head,
                   std::string_view source);
    void count(std::string_view notice);

    EventLoop &m_loop;
    const WireNames &m_names;
    Metrics &m_metrics;
    std::set<RefPointer<GatewayTarget>> m_paused;
};

} // namespace Sapphire
