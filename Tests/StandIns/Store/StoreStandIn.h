#pragma once

#include <LibCore/BootClock.h>
#include <LibNet/HttpListener.h>
#include <StandIns/Store/StoreTables.h>

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace Sapphire {

/// How the stand-in misbehaves.
struct StoreFaults
{
    int status { 0 }; ///< Of all answers, 503 for example; 0 for none.
    bool isSilent { false }; ///< Calls get no answer.
    bool resetsConnections { false }; ///< Connections are reset.
    Milliseconds delay { 0 }; ///< Of each answer.
    int answersToDrop { 0 }; ///< So many transactions are done and not answered.
};

/// Stands in for the users' metadata store, on a thread of its own in the process of the test.
class StoreStandIn final : private HttpHandlerFactory, private HttpServerPolicy
{
public:
    /// Listens at a free port of the address.
    explicit StoreStandIn(const std::string &ip = "127.0.0.1");
    ~StoreStandIn() override;
    StoreStandIn(const StoreStandIn &) = delete;
    StoreStandIn &operator=(const StoreStandIn &) = delete;

    /// Returns "ip:port".
    std::string address() const;
    /// Writes a row with the given content.
    void set(const std::string &table, const std::string &key, const std::string &content);
    void remove(const std::string &table, const std::string &key);
    /// Returns the content of a row, or an empty text.
    std::string content(const std::string &table, const std::string &key);
    void dropHistory();
    void setFaults(const StoreFaults &faults);
    std::uint64_t calls() const
    {
        return m_calls;
    }

private:
    friend class StoreStandInHandler;

    RefPointer<HttpRequestHandler> createHandler() override;

    BootClock m_clock;
    std::unique_ptr<EventLoop> m_loop;
    std::mutex m_mutex;
    StoreTables m_tables;
    StoreFaults m_faults;
    std::atomic<std::uint64_t> m_calls { 0 };
    std::unique_ptr<HttpListener> m_listener;
    std::thread m_thread;
};

} // namespace Sapphire
