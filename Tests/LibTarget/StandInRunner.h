#pragma once

#include <StandIns/Target/StandInServer.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <doctest/doctest.h>

#include <string>
#include <thread>

namespace Sapphire {

/// Runs the target stand-in on a thread of the test program.
class StandInRunner
{
public:
    explicit StandInRunner(const StandInSettings &settings)
    {
        auto created = capture([&] {
            return StandInServer::create(settings);
        });
        REQUIRE(created);
        m_server = std::move(created.value());
        m_thread = std::thread([this] {
            m_server->run();
        });
    }
    ~StandInRunner()
    {
        m_server->stop();
        m_thread.join();
    }
    StandInRunner(const StandInRunner &) = delete;
    StandInRunner &operator=(const StandInRunner &) = delete;

    /// Returns settings with the given number of targets "t0", "t1", ... of one service.
    static StandInSettings settings(int targets, int slots, Milliseconds serviceTime)
    {
        StandInSettings settings;
        for (int i = 0; i < targets; ++i) {
            StandInTargetSettings target;
            target.id = "t" + std::to_string(i);
            target.service = "status";
            target.address = "127.0.0.1:0";
            target.slots = slots;
            target.serviceTime = serviceTime;
            target.connectionCost = Microseconds(0);
            settings.targets.push_back(target);
        }
        return settings;
    }

    std::string addressOf(const std::string &target) const
    {
        return m_server->addressOf(target);
    }
    /// Sends a request to the control port, for example "set?target=t0&down=1".
    std::string control(const std::string &pathAndQuery) const
    {
        Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(m_server->controlAddress()) };
        Poco::Net::HTTPRequest request("GET", "/control/" + pathAndQuery, "HTTP/1.1");
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::string text;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
        CHECK(response.getStatus() == 200);
        return text;
    }

    /// Waits until the targets together run at least the given number of requests.
    void waitForInFlight(int count) const
    {
        const std::string name = "\"inFlight\":";
        int inFlight = 0;
        while (inFlight < count) {
            inFlight = 0;
            const std::string counters = control("counters");
            for (std::size_t at = counters.find(name); at != std::string::npos; at = counters.find(name, at + 1)) {
                inFlight += std::stoi(counters.substr(at + name.size()));
            }
        }
    }

private:
    std::unique_ptr<StandInServer> m_server;
    std::thread m_thread;
};

} // namespace Sapphire
