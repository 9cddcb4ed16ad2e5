#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibSteering/TargetReport.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <optional>
#include <string>

struct pollfd;

namespace Sapphire {

/// Observes one target's health and load endpoints over a kept connection without blocking. The caller polls the
/// descriptors of many probes at once.
class TargetProbe
{
public:
    TargetProbe(TargetId target, VmId observer, const Poco::Net::SocketAddress &address);

    /// Begins an observation, over a new connection if the last one failed.
    void begin(TimePoint now);
    bool isDone() const
    {
        return m_step == Step::Done;
    }
    /// Sets the descriptor and events to wait for. To be called while it isn't done.
    void prepare(pollfd &entry) const;
    /// Goes on after the events have occurred.
    void proceed(short events, TimePoint now);
    /// Ends an observation that isn't done; the target counts as unreachable.
    void giveUp(TimePoint now);
    /// The result of the last observation, dated at its begin.
    const TargetReport &report() const
    {
        return m_report;
    }
    const Poco::Net::SocketAddress &address() const
    {
        return m_address;
    }

private:
    enum class Step {
        Connecting,
        Health,
        Load,
        Done,
    };

    void connect(TimePoint now);
    void ask(const char *path, Step step, TimePoint now);
    void receive(TimePoint now);
    /// Returns the body once the answer is whole. Fails with DataLoss.
    Result<std::optional<std::string>> takeAnswer();
    void takeHealth(const std::string &body);
    void takeLoad(const std::string &body);
    void lose(TimePoint now);
    void finish(TargetHealth health, TimePoint now);

    TargetId m_target;
    VmId m_observer;
    Poco::Net::SocketAddress m_address;
    std::optional<Poco::Net::StreamSocket> m_socket;
    Step m_step { Step::Done };
    bool m_isReused { false };
    bool m_hasFailedStatus { false };
    std::string m_input;
    TargetHealth m_health { TargetHealth::Failing };
    TargetReport m_report;
};

} // namespace Sapphire
