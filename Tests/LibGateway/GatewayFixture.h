#pragma once

#include <LibCore/BootClock.h>
#include <LibCore/Hash.h>
#include <LibGateway/Gateway.h>
#include <LibNet/SocketAddresses.h>
#include <LibTarget/ScriptedTarget.h>

#include <doctest/doctest.h>

#include <future>
#include <thread>

namespace Sapphire {

/// The answer that a caller received.
struct CallerAnswer
{
    int status { 0 }; ///< 0 if the connection ended without a head.
    std::string head;
    std::string body;
    bool isCut { false };

    bool has(const std::string &text) const
    {
        return head.find(text) != std::string::npos;
    }
};

/// A gateway on a thread of its own, with targets that a test scripts.
class GatewayFixture
{
public:
    /// The gateway knows from the start that it is the only VM, or doesn't know the list of VMs yet.
    explicit GatewayFixture(bool knowsVms = true)
    {
        GatewaySettings settings;
        settings.vm = VmId("vm-1");
        settings.locality = { RegionId("cuyo"), AvailabilityZoneId("cuyo-a") };
        settings.regionsByZone = { { AvailabilityZoneId("cuyo-a"), RegionId("cuyo") },
                                   { AvailabilityZoneId("pampa-a"), RegionId("pampa") } };
        settings.callerAddress = Ipv4Endpoint(Ipv4Address(0x7f000001), 0);
        settings.names = names();
        settings.stopTimeout = Milliseconds(1'000);
        settings.retryBudget = { 0.2, 20, Milliseconds(10'000) };
        settings.quota = { Milliseconds(5'000), 0.1, 20 };
        Outcome<std::unique_ptr<EventLoop>> loop = capture([this] {
            return EventLoop::create(m_clock);
        });
        REQUIRE(loop);
        m_loop = std::move(loop.value());
        Outcome<std::unique_ptr<Gateway>> gateway = capture([&] {
            return Gateway::create(*m_loop, settings, m_metrics);
        });
        REQUIRE(gateway);
        m_gateway = std::move(gateway.value());
        m_thread = std::thread([this] {
            m_loop->run();
        });
        if (knowsVms) {
            applyVms();
        }
    }
    ~GatewayFixture()
    {
        m_loop->stop();
        m_thread.join();
        m_gateway.reset();
    }
    GatewayFixture(const GatewayFixture &) = delete;
    GatewayFixture &operator=(const GatewayFixture &) = delete;

    static WireNames names()
    {
        WireNames names;
        names.requestId = "Request-Id";
        names.deadline = "Deadline-Ms";
        names.objectCookie = "object";
        names.credentialsScheme = "Bearer";
        names.customer = "Customer";
        names.expectedTarget = "Expected-Target";
        names.seal = "Seal";
        names.load = "Load";
        names.rateLimit = "Rate-Limit";
        names.notRun = "Not-Run";
        names.coldTime = "Cold-Ms";
        names.leaving = "Leaving";
        names.targetId = "Target-Id";
        return names;
    }

    /// Runs a function on the gateway's thread and waits for it.
    void run(const std::function<void()> &function)
    {
        std::promise<void> done;
        REQUIRE(m_loop->post([&] {
            function();
            done.set_value();
        }));
        done.get_future().wait();
    }
    /// Begins a planned stop. The future becomes ready at its end.
    std::future<void> leave()
    {
        auto stopped = std::make_shared<std::promise<void>>();
        run([this, stopped] {
            m_gateway->leave([stopped] {
                stopped->set_value();
            });
        });
        return stopped->get_future();
    }
    Gateway &gateway()
    {
        return *m_gateway;
    }
    EventLoop &loop()
    {
        return *m_loop;
    }

    /// Tells the gateway that it is the only VM.
    void applyVms()
    {
        run([this] {
            m_gateway->applyVms(VmsByRegion({ { VmId("vm-1"), RegionId("cuyo") } }));
        });
    }
    /// Routes "/read/" (idempotent) and "/book/" (not) to service "s"; "/keyed/" needs the key "secret".
    void applyRules(Milliseconds timeout = Milliseconds(1'000), double rate = 0,
                    const std::vector<RegionId> &regions = {})
    {
        ServingRules::Content content;
        content.version = ConfigurationVersion(++m_version);
        for (const char *prefix : { "/read/", "/book/", "/keyed/" }) {
            Route route;
            route.id = RouteId(prefix);
            route.host = "h.example";
            route.pathPrefix = prefix;
            route.isIdempotent = std::string(prefix) != "/book/";
            route.timeout = timeout;
            route.targetLatency = timeout / 2;
            route.services = { { ServiceId("s"), 1 } };
            route.mostAttempts = 2;
            route.isOpenToAll = std::string(prefix) != "/keyed/";
            route.hasObjectAffinity = true;
            route.allowedRegions = regions;
            content.routes.push_back(route);
        }
        ServiceRules service;
        service.id = ServiceId("s");
        service.healthPath = "/health";
        content.services = { service };
        CustomerRules customer;
        customer.id = CustomerId("grifo");
        customer.keyHashes = { sha256Hex("secret") };
        customer.ratePerSecond = rate;
        customer.burst = rate;
        content.customers = { customer };
        run([&] {
            m_gateway->applyRules(RefPointer<const ServingRules>(new ServingRules(content)));
        });
    }

    static TargetListEntry targetEntry(const std::string &id, const Poco::Net::SocketAddress &address,
                                       const std::string &zone = "cuyo-a")
    {
        TargetListEntry target;
        target.id = TargetId(id);
        target.service = ServiceId("s");
        target.address = endpointOf(address).value();
        target.availabilityZone = AvailabilityZoneId(zone);
        target.slots = 4;
        return target;
    }
    void applyTargets(const std::vector<TargetListEntry> &targets)
    {
        run([&] {
            constexpr std::size_t mostEntries = 1'000;
            for (const TargetListChange &change : m_list.applyWhole(targets, {}, m_clock.now(), mostEntries)) {
                m_gateway->applyTargets(change);
            }
        });
    }

    Poco::Net::StreamSocket connect()
    {
        Poco::Net::StreamSocket socket(m_gateway->address());
        socket.setReceiveTimeout(Poco::Timespan(5, 0));
        return socket;
    }
    static void send(Poco::Net::StreamSocket &socket, const std::string &text)
    {
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
    }
    /// Sends a request on a new connection and reads the answer to its end.
    CallerAnswer call(const std::string &method, const std::string &path, const std::string &headers = "",
                      const std::string &body = "")
    {
        Poco::Net::StreamSocket socket = connect();
        std::string text = method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n" + headers;
        if (!body.empty()) {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        send(socket, text + "Connection: close\r\n\r\n" + body);
        return receive(socket);
    }
    /// Reads until the gateway closes the connection.
    static CallerAnswer receive(Poco::Net::StreamSocket &socket)
    {
        CallerAnswer answer;
        std::string text;
        try {
            char buffer[4096];
            for (int count = socket.receiveBytes(buffer, sizeof buffer); count > 0;
                 count = socket.receiveBytes(buffer, sizeof buffer)) {
                text.append(buffer, static_cast<std::size_t>(count));
            }
        } catch (const Poco::Exception &) {
            answer.isCut = true;
        }
        const std::size_t end = text.find("\r\n\r\n");
        if (end != std::string::npos) {
            answer.head = text.substr(0, end + 2);
            answer.body = text.substr(end + 4);
            answer.status = std::stoi(answer.head.substr(9, 3));
        }
        return answer;
    }

private:
    BootClock m_clock;
    Metrics m_metrics;
    std::unique_ptr<EventLoop> m_loop;
    std::unique_ptr<Gateway> m_gateway;
    std::thread m_thread;
    std::uint64_t m_version { 0 };
    TargetList m_list;
};

/// Returns a valid answer of a target, with a seal.
inline std::string soundAnswer(const std::string &body, const std::string &headers = "Request-Id: r1\r\n")
{
    return "HTTP/1.1 200 OK\r\nSeal: s\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

/// Returns a script that answers health checks like a warm target, and requests with the result of the function.
inline ScriptedTarget::Script answering(std::function<std::string(const std::string &head)> answer)
{
    return [answer = std::move(answer)](Poco::Net::StreamSocket &socket) {
        for (std::string head = ScriptedTarget::readHead(socket); !head.empty();
             head = ScriptedTarget::readHead(socket)) {
            const bool isCheck = head.starts_with("GET /health ");
            const std::string text = isCheck ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" : answer(head);
            if (text.empty()) {
                return;
            }
            ScriptedTarget::write(socket, text);
        }
    };
}

} // namespace Sapphire
