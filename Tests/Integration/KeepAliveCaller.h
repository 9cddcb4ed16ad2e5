#pragma once

#include <LibCore/BootClock.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <iterator>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Sapphire {

/// The result of one request of a KeepAliveCaller.
struct SeenAnswer
{
    TimePoint sentAt {};
    int status { 0 }; ///< 0 if the connection broke before the answer was complete.
    std::string reason;
    int localPort { 0 }; ///< Identifies the connection.

    bool isServed() const
    {
        return status == 200 && reason.empty();
    }
    /// Returns whether the request was served, or refused only because of the customer's rate.
    bool isServedWithinRate() const
    {
        return isServed() || reason == "rate-exceeded";
    }
};

/// A caller that sends sequential requests on one connection, and opens a new one only when the VM closes it or it
/// fails.
class KeepAliveCaller
{
public:
    KeepAliveCaller(std::string vm, const std::string &address, std::string key, std::string path)
        : m_vm(std::move(vm))
        , m_key(std::move(key))
        , m_path(std::move(path))
        , m_session(Poco::Net::SocketAddress(address))
        , m_thread([this] {
            run();
        })
    {
    }
    ~KeepAliveCaller()
    {
        stop();
    }
    KeepAliveCaller(const KeepAliveCaller &) = delete;
    KeepAliveCaller &operator=(const KeepAliveCaller &) = delete;

    const std::string &vm() const
    {
        return m_vm;
    }
    void stop()
    {
        m_isStopping = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }
    std::vector<SeenAnswer> seen() const
    {
        const std::lock_guard guard(m_mutex);
        return m_seen;
    }
    /// Returns the answers to requests that were sent at the given time or later.
    std::vector<SeenAnswer> seenSince(TimePoint time) const
    {
        std::vector<SeenAnswer> result;
        const std::vector<SeenAnswer> all = seen();
        std::copy_if(all.begin(), all.end(), std::back_inserter(result), [&](const SeenAnswer &answer) {
            return answer.sentAt >= time;
        });
        return result;
    }

private:
    void run()
    {
        constexpr int timeoutSeconds = 4;
        constexpr std::chrono::milliseconds interval { 20 };
        m_session.setKeepAlive(true);
        m_session.setTimeout(Poco::Timespan(timeoutSeconds, 0));
        while (!m_isStopping) {
            SeenAnswer answer = send();
            {
                const std::lock_guard guard(m_mutex);
                m_seen.push_back(std::move(answer));
            }
            std::this_thread::sleep_for(interval);
        }
    }

    SeenAnswer send()
    {
        SeenAnswer answer;
        answer.sentAt = m_clock.now();
        try {
            Poco::Net::HTTPRequest request("GET", m_path, "HTTP/1.1");
            request.setKeepAlive(true);
            request.set("Authorization", "Bearer " + m_key);
            request.set("Request-Timeout-Ms", "2000");
            m_session.sendRequest(request);
            answer.localPort = m_session.socket().address().port();
            Poco::Net::HTTPResponse response;
            std::string body;
            Poco::StreamCopier::copyToString(m_session.receiveResponse(response), body);
            answer.reason = response.get("Sapphire-Reason", "");
            answer.status = response.getStatus();
        } catch (const Poco::Exception &exception) {
            answer.status = 0;
            answer.reason = exception.displayText();
            m_session.reset();
        }
        return answer;
    }

    std::string m_vm;
    std::string m_key;
    std::string m_path;
    BootClock m_clock;
    std::atomic<bool> m_isStopping { false };
    mutable std::mutex m_mutex;
    std::vector<SeenAnswer> m_seen;
    Poco::Net::HTTPClientSession m_session;
    std::thread m_thread; ///< Declared last, since it uses the other members.
};

} // namespace Sapphire
