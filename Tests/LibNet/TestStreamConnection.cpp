#include <LibCore/BootClock.h>
#include <LibNet/StreamConnection.h>

#include <Poco/Net/ServerSocket.h>

#include <doctest/doctest.h>

#include <optional>

using namespace Sapphire;

namespace {

// More than the sockets of loopback take while the peer doesn't read.
constexpr std::size_t blockedBytes = 16'000'000;

/// A connection whose loop the test runs, and the socket of its peer.
class ConnectedPair final : private StreamConnectionListener
{
public:
    explicit ConnectedPair(const LivenessSettings &liveness = {})
        : m_server(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_loop(std::move(capture([this] {
                               return EventLoop::create(m_clock);
                           }).value()))
        , connection(std::move(capture([this, &liveness] {
                                   return StreamConnection::connect(*m_loop, m_server.address(), liveness, *this);
                               }).value()))
        , peer(m_server.acceptConnection())
    {
        while (!m_isEstablished) {
            runOnce();
        }
    }
    ~ConnectedPair() override
    {
        connection->close();
    }

    void runOnce()
    {
        m_loop->runOnce(Deadline::after(m_clock.now(), Milliseconds(20)));
    }
    /// Runs the loop until the connection has ended.
    void runToEnd()
    {
        const Deadline end = Deadline::after(m_clock.now(), Milliseconds(3'000));
        while (!isBroken && !end.hasPassed(m_clock.now())) {
            runOnce();
        }
    }
    void write(const std::string &text)
    {
        peer.sendBytes(text.data(), static_cast<int>(text.size()));
    }
    /// Has the peer read nothing for a time, while the loop runs.
    void pausePeer(Milliseconds time)
    {
        const Deadline end = Deadline::after(m_clock.now(), time);
        while (!isBroken && !end.hasPassed(m_clock.now())) {
            runOnce();
        }
    }
    /// Has the peer read until so many bytes have arrived or the connection has ended.
    std::size_t readByPeer(std::size_t count)
    {
        std::string buffer(65'536, '\0');
        std::size_t read = 0;
        const Deadline end = Deadline::after(m_clock.now(), Milliseconds(5'000));
        while (read < count && !isBroken && !end.hasPassed(m_clock.now())) {
            m_loop->runOnce(Deadline::after(m_clock.now(), Milliseconds(0)));
            if (peer.poll(Poco::Timespan(1'000), Poco::Net::Socket::SELECT_READ)) {
                read += static_cast<std::size_t>(peer.receiveBytes(buffer.data(), static_cast<int>(buffer.size())));
            }
        }
        return read;
    }
    void resetByPeer()
    {
        peer.setLinger(true, 0);
        peer.close();
    }

    std::string received;
    std::optional<bool> isBroken; ///< As the end of the connection was reported.

private:
    void connectionEstablished() override
    {
        m_isEstablished = true;
    }
    void bytesReceived(std::string_view bytes) override
    {
        received.append(bytes);
    }
    void peerClosed(bool isBrokenNow) override
    {
        CHECK(!isBroken);
        isBroken = isBrokenNow;
    }
    void outputDrained() override
    {
    }

    BootClock m_clock;
    Poco::Net::ServerSocket m_server;
    std::unique_ptr<EventLoop> m_loop;
    bool m_isEstablished { false };

public:
    RefPointer<StreamConnection> connection;
    Poco::Net::StreamSocket peer;
};

} // namespace

TEST_CASE("A reset that sending takes off the socket is reported as a broken connection")
{
    // Guards against an answer that ends with its connection and is taken for complete although it was reset.
    ConnectedPair pair;
    pair.connection->send(std::string(blockedBytes, 'x'));
    REQUIRE(pair.connection->pendingOutput() > 0);
    pair.write("part");
    while (pair.received.empty()) {
        pair.runOnce();
    }
    SUBCASE("in the event that reports the reset")
    {
        pair.resetByPeer();
    }
    SUBCASE("in a call before that event")
    {
        pair.resetByPeer();
        pair.connection->send("more");
    }
    SUBCASE("after the peer has ended its side")
    {
        pair.peer.shutdownSend();
        pair.resetByPeer();
    }
    SUBCASE("by a peer that closes with unread bytes")
    {
        pair.peer.close();
    }
    pair.runToEnd();
    CHECK(pair.isBroken == true);
    CHECK(pair.received == "part");
}

TEST_CASE("What arrived before a reset is received")
{
    // Guards against a complete answer that is lost because its target resets the connection after it.
    ConnectedPair pair;
    // Less than the receive buffer holds, so that all of it has arrived.
    const std::string answer(50'000, 'a');
    pair.connection->send(std::string(blockedBytes, 'x'));
    pair.write(answer);
    pair.resetByPeer();
    pair.connection->send("more");
    pair.runToEnd();
    CHECK(pair.isBroken == true);
    CHECK((pair.received == answer));
}

TEST_CASE("The end of a peer's output is reported as a regular end")
{
    // Guards against a complete answer that is taken for a broken one.
    ConnectedPair pair;
    pair.write("whole");
    pair.peer.shutdownSend();
    pair.runToEnd();
    CHECK(pair.isBroken == false);
    CHECK(pair.received == "whole");
}

TEST_CASE("A peer that reads late is waited for, for longer than bytes may stay unacknowledged")
{
    // Guards against a sound target that works before it reads a long body and is taken for a failed machine.
    constexpr LivenessSettings liveness { Milliseconds(1'000), std::chrono::seconds(1) };
    std::size_t bytes = 0;
    SUBCASE("output waits in the process")
    {
        bytes = blockedBytes;
    }
    SUBCASE("output waits in the kernel only")
    {
        bytes = 1'000'000;
    }
    ConnectedPair pair(liveness);
    pair.connection->send(std::string(bytes, 'x'));
    std::size_t read = 0;
    for (const std::size_t goal : { bytes / 2, bytes }) {
        pair.pausePeer(Milliseconds(2'500));
        REQUIRE(!pair.isBroken);
        read += pair.readByPeer(goal - read);
        CHECK(read >= goal);
    }
    CHECK(read == bytes);
    CHECK(!pair.isBroken);
}
