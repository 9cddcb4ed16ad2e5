#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibNet/HttpParser.h>
#include <LibSteering/TargetReport.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <optional>
#include <string>

struct pollfd;

namespace Sapphire {

/// Queries one target's health and load endpoints over a persistent connection without blocking. The user of the probes
/// polls the descriptors of many of them at once.
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
    /// Sets the descriptor and events to wait for. Must only be called until the observation is done.
    void preparePoll(pollfd &entry) const;
    /// Continues the observation after the events have occurred.
    void handleEvents(short events, TimePoint now);
    /// Ends an observation that isn't done. The target counts as unreachable if its health is not known yet.
    void giveUp(TimePoint now);
    /// The result of the last observation, with the time of its start.
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
    void sendRequest(const char *path, Step step, TimePoint now);
    void receive(TimePoint now);
    /// Adds received bytes to the answer and returns whether it is complete. Fails with DataLoss if it is malformed or
    /// too long.
    Result<bool> takeBytes(std::string_view bytes);
    void takeHealth();
    void takeLoad();
    bool hasFailedStatus() const;
    void handleConnectionLoss(TimePoint now);
    void finish(TargetHealth health, TimePoint now);

    TargetId m_target;
    VmId m_observer;
    Poco::Net::SocketAddress m_address;
    std::optional<Poco::Net::StreamSocket> m_socket;
    Step m_step { Step::Done };
    bool m_isReused { false };
    HttpParser m_parser;
    std::string m_body; ///< Of the answer being read.
    TargetHealth m_health { TargetHealth::Failing };
    TargetReport m_report;
};

} // namespace Sapphire
