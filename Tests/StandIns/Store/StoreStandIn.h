#pragma once

#include <LibCore/BootClock.h>
#include <LibNet/HttpListener.h>
#include <StandIns/Store/StoreTables.h>

#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace Sapphire {

/// Faults that a test switches on.
struct StoreFaults
{
    int status { 0 }; ///< HTTP status of every answer, 503 for example; 0 for normal answers.
    bool isSilent { false }; ///< Requests get no answer.
    bool resetsConnections { false }; ///< A request's connection is reset instead of answered.
    Milliseconds delay { 0 }; ///< Before each answer.
    int answersToDrop { 0 }; ///< Number of next transactions that take effect but get no answer.
};

/// Simulates the users' metadata store over HTTP, on a thread of its own in the test process.
class StoreStandIn final : private HttpHandlerFactory, private HttpServerPolicy
{
public:
    /// Listens on a free port of the address.
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
    /// Makes the store answer 410 to feeds that start before the current version.
    void dropHistory();
    void setFaults(const StoreFaults &faults);
    /// Returns a copy of all rows, for restore().
    StoreTables copy();
    /// Goes back to a copy, so that what was written since is lost and its versions are given out again.
    void restore(const StoreTables &copy);
    /// Sets the text of the header Store-Era; nothing leaves it out.
    void setEra(const std::optional<std::string> &era);
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
    std::optional<std::string> m_era { "1" };
    std::uint64_t m_restores { 0 };
    StoreFaults m_faults;
    std::atomic<std::uint64_t> m_calls { 0 };
    std::unique_ptr<HttpListener> m_listener;
    std::thread m_thread;
};

} // namespace Sapphire
