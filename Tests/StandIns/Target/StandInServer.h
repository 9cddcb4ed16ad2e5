#pragma once

#include <LibCore/BootClock.h>
#include <LibCore/Result.h>
#include <StandIns/Target/RequestLedger.h>
#include <StandIns/Target/StandInConnection.h>
#include <StandIns/Target/StandInTarget.h>

#include <Poco/Net/SocketAddress.h>

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sapphire {

/// Simulates the targets of its settings on one thread with one epoll instance.
///
/// The control port accepts `/control/set?target=ID|*&service=S&NAME=VALUE...` (names of StandInTarget::apply, and
/// `down`, `silence`), `/control/ledger?after=N&limit=L`, `/control/counters`, `/control/findings`,
/// `/control/secret?text=T` and `/control/reset`.
class StandInServer
{
public:
    /// Listens on all addresses. Fails with InvalidArgument if one is malformed, and Unavailable if one is taken.
    [[nodiscard]] static Result<std::unique_ptr<StandInServer>> create(const StandInSettings &settings);
    ~StandInServer();
    StandInServer(const StandInServer &) = delete;
    StandInServer &operator=(const StandInServer &) = delete;

    /// Serves until stop() is called.
    void run();
    /// May be called from any thread and from a signal handler.
    void stop();

    std::string controlAddress() const
    {
        return m_controlAddress;
    }
    /// Returns "ip:port" of a target; an empty text if it is unknown.
    std::string addressOf(const std::string &target) const;

private:
    /// A listening address: of a target, or of the control port, which has no target.
    struct Listener
    {
        std::unique_ptr<StandInTarget> target;
        Poco::Net::SocketAddress address;
        int descriptor { -1 };
        std::map<std::uint64_t, std::unique_ptr<StandInConnection>> connections;
    };
    struct Timer
    {
        std::size_t listener;
        std::uint64_t connection; ///< 0 for the restart of the target.
        std::uint64_t work;
        enum class Kind {
            Done,
            TimedOut,
            Answer,
            Restart,
        } kind;
    };

    StandInServer(const StandInSettings &settings, int epoll, int stopEvent);

    Result<void> listen(std::size_t index);
    void crash(std::size_t index);
    void silence(Listener &listener);
    int epollTimeout() const;
    void fireTimers();
    void fire(const Timer &timer);
    void accept(std::size_t index);
    void serve(std::size_t index, std::uint64_t connectionNumber, std::uint32_t events);
    /// Returns false if the connection is to be closed.
    bool advance(std::size_t index, std::uint64_t connectionNumber, StandInConnection &connection);
    bool beginRequest(std::size_t index, StandInConnection &connection);
    bool receiveBody(std::size_t index, std::uint64_t connectionNumber, StandInConnection &connection);
    void schedule(std::size_t index, std::uint64_t connectionNumber, StandInConnection &connection);
    void endWork(StandInTarget &target, StandInConnection &connection, bool isFinished);
    void answerWork(std::size_t index, StandInConnection &connection);
    static void queueAnswer(StandInConnection &connection, int status, const std::string &extraHeaders,
                            const std::string &body);
    static void answerHealth(StandInTarget &target, StandInConnection &connection);
    bool flush(std::uint64_t connectionNumber, StandInConnection &connection);
    void close(std::size_t index, std::uint64_t connectionNumber);
    std::string control(const StandInRequest &request, int &status);
    std::string set(const StandInRequest &request, int &status);
    std::string countersJson() const;

    BootClock m_clock;
    int m_epoll;
    int m_stopEvent;
    std::atomic<bool> m_isStopped { false };
    std::vector<Listener> m_listeners;
    std::string m_controlAddress;
    RequestLedger m_ledger;
    std::multimap<TimePoint, Timer> m_timers;
    std::unordered_map<std::uint64_t, std::size_t> m_listenerOfConnection;
    std::vector<std::map<std::uint64_t, std::unique_ptr<StandInConnection>>> m_crashed;
    std::uint64_t m_lastConnection;
    std::uint64_t m_lastWork { 0 };
};

} // namespace Sapphire
