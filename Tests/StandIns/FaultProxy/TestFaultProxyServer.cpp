#include <StandIns/FaultProxy/FaultProxyServer.h>

#include <Harness/Expect.h>
#include <Harness/HttpCall.h>
#include <Harness/LoopbackSubnet.h>
#include <LibCore/BootClock.h>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <thread>
#include <vector>

#include <sys/resource.h>

using namespace Sapphire;
using Poco::Net::StreamSocket;

namespace {

constexpr int longWaitSeconds = 5;

/// A proxy with one link "a/1" to a server socket of the test.
struct ProxyFixture
{
    ProxyFixture()
        : ip(LoopbackSubnet().address(1))
        , server(Poco::Net::SocketAddress(ip, 0))
        , proxy(expect([&] {
            return FaultProxyServer::create(ip + ":0", 2);
        }))
        , link(addressOnFreePort())
    {
        addLink("a/1", link, server.address().toString());
    }

    std::string addressOnFreePort() const
    {
        return ip + ":" + std::to_string(expect([&] {
                   return freePort(ip);
               }));
    }
    void addLink(const std::string &name, const std::string &listen, const std::string &connect) const
    {
        expect([&] {
            return proxy->engine().addLinks({ { name, listen, connect } });
        });
    }
    void apply(const std::string &command) const
    {
        expect([&]() -> Result<void> {
            BOOST_LEAF_AUTO(parsed, parseFaultCommand(command));
            return proxy->engine().apply(parsed);
        });
    }

    std::string ip;
    Poco::Net::ServerSocket server;
    std::unique_ptr<FaultProxyServer> proxy;
    std::string link;
};

/// Both ends of a connection through the proxy.
struct Ends
{
    explicit Ends(ProxyFixture &fixture)
        : client(Poco::Net::SocketAddress(fixture.link)), server(fixture.server.acceptConnection())
    {
        for (StreamSocket *socket : { &client, &server }) {
            socket->setReceiveTimeout(Poco::Timespan(longWaitSeconds, 0));
            socket->setNoDelay(true);
        }
    }

    StreamSocket client;
    StreamSocket server;
};

void send(StreamSocket &socket, const std::string &text)
{
    socket.sendBytes(text.data(), static_cast<int>(text.size()), MSG_NOSIGNAL);
}

/// Returns what arrives until there are `count` bytes or the stream ends. Returns "reset" if the connection fails
/// before, and "silent" after waitMilliseconds without bytes.
std::string receive(StreamSocket &socket, std::size_t count, int waitMilliseconds = longWaitSeconds * 1000)
{
    std::string text(count, '\0');
    std::size_t received = 0;
    socket.setReceiveTimeout(Poco::Timespan(Poco::Timespan::TimeDiff { waitMilliseconds } * 1000));
    try {
        while (received < count) {
            const int part = socket.receiveBytes(text.data() + received, static_cast<int>(count - received));
            if (part <= 0) {
                break;
            }
            received += static_cast<std::size_t>(part);
        }
    } catch (const Poco::TimeoutException &) {
        return "silent";
    } catch (const Poco::Exception &) {
        return "reset";
    }
    text.resize(received);
    return text;
}

bool isRefused(const std::string &address)
{
    try {
        const StreamSocket socket { Poco::Net::SocketAddress(address) };
        return false;
    } catch (const Poco::Net::ConnectionRefusedException &) {
        return true;
    }
}

Milliseconds since(TimePoint begin)
{
    return std::chrono::duration_cast<Milliseconds>(BootClock().now() - begin);
}

} // namespace

TEST_CASE_FIXTURE(ProxyFixture, "The proxy forwards both directions, a half-closed stream and a reset")
{
    Ends ends(*this);
    send(ends.client, "question");
    CHECK(receive(ends.server, 8) == "question");
    ends.client.shutdownSend();
    CHECK(receive(ends.server, 1).empty());
    send(ends.server, "answer");
    CHECK(receive(ends.client, 6) == "answer");
    ends.server.close();
    CHECK(receive(ends.client, 1).empty());
    Ends broken(*this);
    broken.server.setLinger(true, 0);
    broken.server.close();
    CHECK(receive(broken.client, 1) == "reset");
}

TEST_CASE_FIXTURE(ProxyFixture, "The proxy delays each direction without limiting the throughput")
{
    // Guards against a delay that lets only one buffer pass per round trip.
    apply(R"({"link":"a/1","delayToServerMs":40,"delayToClientMs":80})");
    Ends ends(*this);
    const TimePoint begin = BootClock().now();
    send(ends.client, "x");
    CHECK(receive(ends.server, 1) == "x");
    // The first bytes also wait for one round trip in place of the handshake.
    CHECK(since(begin) >= Milliseconds(150));
    const TimePoint answer = BootClock().now();
    send(ends.server, "y");
    CHECK(receive(ends.client, 1) == "y");
    CHECK(since(answer) >= Milliseconds(80));
    CHECK(since(answer) < Milliseconds(1000));
    const std::string large(8'000'000, 'z');
    const TimePoint transfer = BootClock().now();
    std::thread sender([&] {
        send(ends.server, large);
    });
    CHECK(receive(ends.client, large.size()) == large);
    sender.join();
    // One buffer of 64 KiB per delay would take 10 s.
    CHECK(since(transfer) < Milliseconds(5000));
}

TEST_CASE_FIXTURE(ProxyFixture, "The proxy limits a link's bandwidth over all its connections")
{
    apply(R"({"link":"a/1","bytesPerSecond":1000000})");
    Ends first(*this);
    Ends second(*this);
    const std::string text(100'000, 'x');
    const TimePoint begin = BootClock().now();
    send(first.client, text);
    send(second.client, text);
    CHECK(receive(first.server, text.size()) == text);
    CHECK(receive(second.server, text.size()) == text);
    CHECK(since(begin) >= Milliseconds(170));
    CHECK(since(begin) < Milliseconds(2000));
}

TEST_CASE_FIXTURE(ProxyFixture, "The proxy cuts the links of a prefix and restores them")
{
    const std::string other = addressOnFreePort();
    addLink("b/1", other, server.address().toString());
    Ends ends(*this);
    apply(R"({"prefix":"a/","cut":true})");
    CHECK(receive(ends.client, 1) == "reset");
    CHECK(receive(ends.server, 1) == "reset");
    CHECK(isRefused(link));
    CHECK_FALSE(isRefused(other));
    apply(R"({"prefix":""})");
    CHECK_FALSE(isRefused(link));
}

TEST_CASE_FIXTURE(ProxyFixture, "The proxy silences existing connections permanently while new ones work")
{
    Ends old(*this);
    apply(R"({"link":"a/1","silence":"existing"})");
    Ends fresh(*this);
    apply(R"({"link":"a/1"})");
    send(old.client, "lost");
    CHECK(receive(old.server, 4, 50) == "silent");
    send(old.server, "lost");
    CHECK(receive(old.client, 4, 50) == "silent");
    old.client.close();
    CHECK(receive(old.server, 1, 50) == "silent");
    send(fresh.client, "works");
    CHECK(receive(fresh.server, 5) == "works");
}

TEST_CASE_FIXTURE(ProxyFixture, "The proxy silences one direction of all connections")
{
    // Guards against a fault that is meant to drop the answers only but also drops the requests.
    Ends old(*this);
    apply(R"({"link":"a/1","silence":"all","silenceDirection":"toClient"})");
    Ends fresh(*this);
    for (Ends *ends : { &old, &fresh }) {
        send(ends->client, "request");
        CHECK(receive(ends->server, 7) == "request");
        send(ends->server, "answer");
        CHECK(receive(ends->client, 6, 50) == "silent");
    }
}

TEST_CASE_FIXTURE(ProxyFixture, "The proxy truncates each answer that is too long")
{
    apply(R"({"link":"a/1","truncateAnswerAfter":5})");
    Ends ends(*this);
    for (int round = 0; round < 2; ++round) {
        send(ends.client, "short?");
        CHECK(receive(ends.server, 6) == "short?");
        send(ends.server, "short");
        CHECK(receive(ends.client, 5) == "short");
    }
    send(ends.client, "long?");
    CHECK(receive(ends.server, 5) == "long?");
    send(ends.server, "truncated");
    CHECK(receive(ends.client, 100) == "trunc");
    CHECK(receive(ends.server, 1).empty());
}

TEST_CASE_FIXTURE(ProxyFixture, "The proxy drops the next answer after the request has passed")
{
    apply(R"({"link":"a/1","dropAnswers":1})");
    Ends ends(*this);
    send(ends.client, "request");
    CHECK(receive(ends.server, 7) == "request");
    send(ends.server, "answer");
    CHECK(receive(ends.client, 6).empty());
    Ends next(*this);
    send(next.client, "request");
    CHECK(receive(next.server, 7) == "request");
    send(next.server, "answer");
    CHECK(receive(next.client, 6) == "answer");
}

TEST_CASE_FIXTURE(ProxyFixture, "The proxy closes a connection after a number of bytes")
{
    apply(R"({"link":"a/1","closeAfter":10})");
    Ends ends(*this);
    send(ends.client, "123456");
    CHECK(receive(ends.server, 6) == "123456");
    send(ends.server, "abcdefgh");
    CHECK(receive(ends.client, 100) == "abcd");
    CHECK(receive(ends.server, 1).empty());
}

TEST_CASE_FIXTURE(ProxyFixture, "The proxy refuses connections while the server refuses them")
{
    // Guards against a dead target that looks like one whose connection broke: only a refused connection shows that the
    // request has not run, so the verdict would differ.
    const std::string address = server.address().toString();
    server.close();
    CHECK_FALSE(isRefused(link));
    CHECK(waitFor(
        [&] {
            return isRefused(link);
        },
        after(std::chrono::seconds(longWaitSeconds))));
    server = Poco::Net::ServerSocket(Poco::Net::SocketAddress(address));
    CHECK(waitFor(
        [&] {
            return !isRefused(link);
        },
        after(std::chrono::seconds(longWaitSeconds))));
}

TEST_CASE_FIXTURE(ProxyFixture, "The proxy carries 400 links with 2000 connections")
{
    // Guards against costs that grow with the number of open connections.
    constexpr int linkCount = 400;
    constexpr int connectionsPerLink = 5;
    rlimit limit {};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
    REQUIRE(limit.rlim_max > 10'000);
    const std::uint16_t base = expect([&] {
        return freePortBase(ip, linkCount);
    });
    for (int i = 0; i < linkCount; ++i) {
        addLink("c/" + std::to_string(i), ip + ":" + std::to_string(base + i), server.address().toString());
    }
    std::vector<std::unique_ptr<Ends>> connections;
    for (int i = 0; i < linkCount * connectionsPerLink; ++i) {
        link = ip + ":" + std::to_string(base + i % linkCount);
        connections.push_back(std::make_unique<Ends>(*this));
    }
    const TimePoint begin = BootClock().now();
    int answered = 0;
    for (const auto &ends : connections) {
        send(ends->client, "q");
        const bool hasArrived = receive(ends->server, 1) == "q";
        send(ends->server, "a");
        answered += hasArrived && receive(ends->client, 1) == "a" ? 1 : 0;
    }
    CHECK(answered == linkCount * connectionsPerLink);
    MESSAGE("2000 round trips took " << since(begin).count() << " ms");
}
