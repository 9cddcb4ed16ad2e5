#pragma once

#include <LibNet/HttpListener.h>
#include <LibNet/Timer.h>

#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Sapphire {

/// A request that a simulated target has started to run.
struct WireTargetRun
{
    std::string requestId;
    std::string path;
    std::string customer;
    std::string target;
    TimePoint at {};
};

/// A request that a simulated target has turned away, with the wish to get none until some time later.
struct WireTargetPause
{
    std::string requestId;
    std::string target;
    TimePoint at {};
    TimePoint until {};
};

/// How a simulated target behaves.
struct WireTargetBehaviour
{
    Milliseconds serviceTime { 20 };
    int slots { 4 };
    int queue { 12 }; ///< Requests that may wait for a slot; more are refused with 503.
    bool isFailing { false }; ///< Answers all requests with 500.
    bool isSilent { false }; ///< Runs requests and answers none.
    bool isLeaving { false }; ///< Says in all answers that it is leaving.
    Milliseconds pause { 0 }; ///< Turns all requests away with this Retry-After; zero for a target that takes them.
    std::string crashPath; ///< A request for this path crashes the target as it starts to run; none if empty.
    Milliseconds downTime { 400 }; ///< From a crash that a request caused until the target starts again.
};

/// Simulates one target of the users' platform over HTTP: runs requests in slots, queues a few more, refuses the rest
/// with X-Not-Executed, and marks its answers with X-Response-Seal. Lives on the event loop of its WireTargets.
class WireTarget final : private HttpHandlerFactory, private HttpServerPolicy
{
public:
    WireTarget(EventLoop &loop, std::string id, const std::string &ip);
    ~WireTarget() override;

    const std::string &id() const
    {
        return m_id;
    }
    /// Returns "ip:port".
    std::string address() const
    {
        return m_address;
    }
    /// Stops like a process that dies: running requests are lost, and new connections are refused.
    void crash();
    /// Starts again at the same address with the same id.
    void restart();
    /// Crashes after the current round of events, and starts again after the down time.
    void crashAndRestart();
    /// Any thread may call these.
    void setBehaviour(const WireTargetBehaviour &behaviour);
    std::vector<WireTargetRun> runs() const;
    std::vector<WireTargetPause> pauses() const;

private:
    friend class WireTargetHandler;

    RefPointer<HttpRequestHandler> createHandler() override;
    void listen();
    void serveWaiting();
    void noteRun(WireTargetRun run);
    void notePause(WireTargetPause pause);

    EventLoop &m_loop;
    std::string m_id;
    std::string m_address;
    mutable std::mutex m_mutex;
    WireTargetBehaviour m_behaviour;
    std::vector<WireTargetRun> m_runs;
    std::vector<WireTargetPause> m_pauses;
    std::unique_ptr<HttpListener> m_listener;
    std::set<RefPointer<class WireTargetHandler>> m_running;
    std::deque<RefPointer<class WireTargetHandler>> m_waiting;
    Timer m_restartTimer;
};

} // namespace Sapphire
