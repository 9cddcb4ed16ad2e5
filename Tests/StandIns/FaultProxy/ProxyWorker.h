#pragma once

#include <LibCore/BootClock.h>
#include <LibCore/Result.h>
#include <StandIns/FaultProxy/FileHandle.h>
#include <StandIns/FaultProxy/ProxyConnection.h>
#include <StandIns/FaultProxy/ProxyLink.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Sapphire {

/// One thread that serves some of the links with epoll. The public functions may be called from any other thread; they
/// block until the worker's thread has carried them out.
class ProxyWorker
{
public:
    /// Fails with ResourceExhausted if the process has no file descriptors left.
    [[nodiscard]] static Result<std::unique_ptr<ProxyWorker>> create();
    ~ProxyWorker();
    ProxyWorker(const ProxyWorker &) = delete;
    ProxyWorker &operator=(const ProxyWorker &) = delete;

    /// Fails with Unavailable if the link's address cannot be used.
    [[nodiscard]] Result<void> addLink(const LinkSettings &settings);
    /// Returns how many links the command selected.
    std::size_t apply(const FaultCommand &command);
    std::vector<LinkCounters> counters();

private:
    /// What an epoll event belongs to. The low bits of the event's data hold the kind, the others the id of the
    /// connection or link.
    enum class Kind : std::uint64_t {
        Client,
        Server,
        Listener,
        Probe,
        Wake,
        Timer,
    };

    struct Entry
    {
        Entry(std::uint64_t id, ProxyLink &link, FileHandle client, FileHandle server, TimePoint now)
            : connection(id, link, std::move(client), std::move(server), now)
        {
        }

        ProxyConnection connection;
        PerDirection<std::uint32_t> interest; ///< As registered with epoll, by source.
        std::optional<TimePoint> scheduled;
    };

    struct Due
    {
        std::uint64_t id;
        bool isLink; ///< Whether the id is a link's and not a connection's.
    };

    ProxyWorker() = default;

    void run();
    void runInWorker(const std::function<void()> &job);
    void runJobs();
    void handle(std::uint64_t value, std::uint32_t events);
    void handleConnection(std::uint64_t id, Direction source);
    void handleProbe(std::uint64_t id);
    void runDue();
    void armTimer();

    void applyTo(std::uint64_t id, ProxyLink &link, const FaultCommand &command);
    void acceptAll(std::uint64_t id, ProxyLink &link);
    void addConnection(ProxyLink &link, FileHandle client, FileHandle server);
    bool finishConnecting(Entry &entry);
    void serverRefused(std::uint64_t id, ProxyLink &link);
    void startProbe(std::uint64_t id, ProxyLink &link);
    void reopenListener(std::uint64_t id, ProxyLink &link);
    void serve(Entry &entry);
    void updateInterest(Entry &entry, Direction source);
    void schedule(Entry &entry);
    void scheduleLink(std::uint64_t id);
    void drop(std::uint64_t id);
    std::vector<std::uint64_t> connectionsOf(const ProxyLink &link) const;
    void updateEpoll(int operation, int file, std::uint64_t id, Kind kind, std::uint32_t events);

    BootClock m_clock;
    FileHandle m_epoll;
    FileHandle m_wake;
    FileHandle m_timer;
    bool m_isStopping { false };
    std::uint64_t m_lastId { 0 };
    std::unordered_map<std::uint64_t, std::unique_ptr<ProxyLink>> m_links;
    std::unordered_map<std::uint64_t, std::unique_ptr<Entry>> m_connections;
    std::multimap<TimePoint, Due> m_due;
    std::mutex m_jobMutex;
    std::vector<std::function<void()>> m_jobs;
    std::thread m_thread;
};

} // namespace Sapphire
