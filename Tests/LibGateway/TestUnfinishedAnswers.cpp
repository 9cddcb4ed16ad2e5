#include <Fakes/FinishRound.h>
#include <LibGateway/GatewayFixture.h>

#include <algorithm>
#include <mutex>

using namespace Sapphire;

namespace {

constexpr Milliseconds routeTimeout { 400 };
// A caller has the end of its answer at the latest this long after its route's timeout.
constexpr Milliseconds longestLateness { 500 };

const std::string sealedHead = "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: r1\r\n";

/// A target that begins an answer, goes on with it at intervals if it has more text, and keeps the connection open.
class UnfinishedTarget
{
public:
    explicit UnfinishedTarget(std::string begin, std::string repeated = "")
        : m_begin(std::move(begin)), m_repeated(std::move(repeated)), m_target([this](Poco::Net::StreamSocket &socket) {
            serve(socket);
        })
    {
    }

    ~UnfinishedTarget()
    {
        m_isOver = true;
    }
    UnfinishedTarget(const UnfinishedTarget &) = delete;
    UnfinishedTarget &operator=(const UnfinishedTarget &) = delete;

    const Poco::Net::SocketAddress &address() const
    {
        return m_target.address();
    }
    std::size_t requests() const
    {
        const std::lock_guard guard(m_mutex);
        return m_requests.size();
    }
    /// Returns whether the gateway has closed the connections of all requests.
    bool isDropped() const
    {
        const std::lock_guard guard(m_mutex);
        return std::all_of(m_requests.begin(), m_requests.end(), ScriptedTarget::isClosed);
    }

private:
    void serve(Poco::Net::StreamSocket &socket)
    {
        const std::string head = ScriptedTarget::readHead(socket);
        if (head.starts_with("GET /health ") || head.empty()) {
            return;
        }
        {
            const std::lock_guard guard(m_mutex);
            m_requests.push_back(socket);
        }
        try {
            ScriptedTarget::write(socket, m_begin);
            while (!m_isOver && !socket.poll(Poco::Timespan(0, 20'000), Poco::Net::Socket::SELECT_READ)) {
                ScriptedTarget::write(socket, m_repeated);
            }
        } catch (const Poco::Exception &) {
            // The gateway has reset the connection.
        }
        // The test still looks at the connection.
        while (!m_isOver) {
            std::this_thread::sleep_for(Milliseconds(1));
        }
    }

    std::string m_begin;
    std::string m_repeated;
    std::atomic<bool> m_isOver { false };
    mutable std::mutex m_mutex;
    std::vector<Poco::Net::StreamSocket> m_requests; ///< Their connections.
    ScriptedTarget m_target;
};

Milliseconds since(TimePoint begin)
{
    return std::chrono::duration_cast<Milliseconds>(BootClock().now() - begin);
}

} // namespace

TEST_CASE("An answer that its target never completes ends soon after the route's timeout, and not as a complete one")
{
    // Guards against callers that wait without end for the rest of an answer whose target keeps the connection open.
    struct Answer
    {
        std::string what;
        std::string begin;
        std::string repeated;
    };
    const std::string chunked = sealedHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n";
    const std::vector<Answer> answers {
        { "stops in its head", "HTTP/1.1 200 OK\r\nName: val", "" },
        { "goes on slowly in its head", "HTTP/1.1 200 OK\r\nName: ", "x" },
        { "stops in a body with a length", sealedHead + "Content-Length: 10\r\n\r\nbegin", "" },
        { "stops before the first byte of a body", sealedHead + "Content-Length: 10\r\n\r\n", "" },
        { "stops between chunks", chunked, "" },
        { "stops in a chunk", chunked + "5\r\nbe", "" },
        { "stops in the trailer", chunked + "0\r\nName: val", "" },
        { "stops in a body that ends with the connection", sealedHead + "\r\nbegin", "" },
        { "goes on slowly with a length", sealedHead + "Content-Length: 100000\r\n\r\nbegin", "x" },
        { "goes on slowly in chunks", chunked, "1\r\nx\r\n" },
        { "goes on slowly until the connection ends", sealedHead + "\r\nbegin", "x" },
        { "stops in an error", "HTTP/1.1 500 Error\r\nRequest-Id: r1\r\nContent-Length: 10\r\n\r\nbegin", "" },
    };
    for (const Answer &answer : answers) {
        for (const std::string start : { "GET /read/a", "POST /book/a" }) {
            CAPTURE(answer.what);
            CAPTURE(start);
            UnfinishedTarget target(answer.begin, answer.repeated);
            GatewayFixture fixture;
            fixture.applyRules(routeTimeout);
            fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
            const TimePoint begin = BootClock().now();
            Poco::Net::StreamSocket socket = fixture.connect();
            // Closing, since a refusal would leave the connection open for the next request.
            fixture.send(socket, start + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nConnection: close\r\n\r\n");
            const CallerAnswer received = fixture.receive(socket);
            CHECK(since(begin) >= routeTimeout - Milliseconds(10));
            CHECK(since(begin) < routeTimeout + longestLateness);
            CHECK((received.isCut || received.status == 504));
            // The gateway closes the target's connection when it ends the answer, at the latest in the next round of
            // its loop.
            finishRound(fixture.loop());
            CHECK(target.requests() == 1);
            CHECK(target.isDropped());
        }
    }
}

TEST_CASE("An answer that its target never completes ends soon after the caller's deadline if that is earlier")
{
    // Guards against a target that works on, or a connection that stays busy, for a caller that waits no longer.
    UnfinishedTarget target(sealedHead + "Content-Length: 10\r\n\r\nbegin");
    GatewayFixture fixture;
    fixture.applyRules(Milliseconds(4'000));
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    const TimePoint begin = BootClock().now();
    CHECK(fixture.call("GET", "/read/a", "Deadline-Ms: 300\r\n").isCut);
    CHECK(since(begin) < Milliseconds(300) + longestLateness);
}

TEST_CASE("A second attempt whose answer is never completed ends soon after the route's timeout")
{
    // Guards against a retry whose answer gets the time of the route anew, or none at all.
    // An answer that has not begun to be forwarded by the timeout is replaced by a refusal, which is complete.
    constexpr Milliseconds longTimeout { 2'000 };
    std::atomic<int> attempts { 0 };
    const auto script = [&attempts](Poco::Net::StreamSocket &socket) {
        if (!ScriptedTarget::readHead(socket).starts_with("GET /read/")) {
            return;
        }
        std::this_thread::sleep_for(Milliseconds(100));
        if (++attempts > 1) {
            ScriptedTarget::write(socket, sealedHead + "Content-Length: 10\r\n\r\nbegin");
            ScriptedTarget::readHead(socket);
        }
    };
    ScriptedTarget first(script);
    ScriptedTarget second(script);
    GatewayFixture fixture;
    fixture.applyRules(longTimeout);
    fixture.applyTargets({ fixture.targetEntry("t1", first.address()), fixture.targetEntry("t2", second.address()) });
    const TimePoint begin = BootClock().now();
    CHECK(fixture.call("GET", "/read/a").isCut);
    CHECK(attempts == 2);
    CHECK(since(begin) >= longTimeout);
    CHECK(since(begin) < longTimeout + longestLateness);
}

TEST_CASE("A target whose answers stop halfway is taken out, so that callers use another one")
{
    // Guards against a faulty target that costs each caller the whole time of its route.
    UnfinishedTarget target(sealedHead + "Content-Length: 10\r\n\r\nbegin");
    GatewayFixture fixture;
    fixture.applyRules(Milliseconds(200));
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    constexpr int failuresToEject = 3;
    for (int i = 0; i < failuresToEject; ++i) {
        CHECK(fixture.call("GET", "/read/" + std::to_string(i)).isCut);
    }
    ScriptedTarget sound(answering([](const std::string &) {
        return soundAnswer("sound");
    }));
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()), fixture.targetEntry("t2", sound.address()) });
    for (int i = 0; i < 4; ++i) {
        CHECK(fixture.call("GET", "/read/" + std::to_string(i)).body == "sound");
    }
}

TEST_CASE("An answer that arrives around the route's timeout is delivered to its end")
{
    // Guards against an answer that is on its way and is cut because its last bytes come a little after the timeout.
    ScriptedTarget target([](Poco::Net::StreamSocket &socket) {
        if (ScriptedTarget::readHead(socket).starts_with("GET /read/")) {
            std::this_thread::sleep_for(Milliseconds(300));
            ScriptedTarget::write(socket, sealedHead + "Content-Length: 10\r\n\r\nbegin");
            std::this_thread::sleep_for(Milliseconds(150));
            ScriptedTarget::write(socket, "close");
        }
    });
    GatewayFixture fixture;
    fixture.applyRules(routeTimeout);
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    const CallerAnswer answer = fixture.call("GET", "/read/a");
    CHECK(answer.body == "beginclose");
    CHECK(!answer.isCut);
}
