#include <Fakes/FinishRound.h>
#include <LibGateway/GatewayFixture.h>

#include <Poco/Net/NetException.h>

#include <array>
#include <optional>

using namespace Sapphire;

namespace {

const std::string refusalText = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n";

/// Sends a request with an id of its own on a new connection and reads the answer to its end.
CallerAnswer callWithId(GatewayFixture &fixture, const std::string &start, const std::string &id)
{
    Poco::Net::StreamSocket socket = fixture.connect();
    GatewayFixture::send(socket,
                         start + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id + "\r\nConnection: close\r\n\r\n");
    return GatewayFixture::receive(socket);
}

std::string idIn(const std::string &head)
{
    const std::size_t begin = head.find("Request-Id: ") + 12;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

bool isHealthCheck(const std::string &head)
{
    return head.starts_with("GET /health ");
}

/// Two targets that share a script. The first request on a connection is refused. The second one on the same connection
/// runs, but its answer comes after a copy of the refusal, with the given headers.
struct RepeatedRefusal
{
    explicit RepeatedRefusal(std::string repeatedHeaders)
        : m_repeatedHeaders(std::move(repeatedHeaders))
        , m_first([this](Poco::Net::StreamSocket &socket) {
            serve(socket);
        })
        , m_second([this](Poco::Net::StreamSocket &socket) {
            serve(socket);
        })
    {
        fixture.applyRules();
        fixture.applyTargets(
            { fixture.targetEntry("t1", m_first.address()), fixture.targetEntry("t2", m_second.address()) });
    }

    /// Has both targets refuse a request, then sends a booking on the connection that one of them keeps.
    CallerAnswer book()
    {
        CHECK(callWithId(fixture, "POST /book/a", "refused").status == 503);
        // The refusing targets take the next request after a pause.
        std::this_thread::sleep_for(Milliseconds(200));
        return callWithId(fixture, "POST /book/a", "booked");
    }

    GatewayFixture fixture;
    std::atomic<int> runs { 0 };

private:
    void serve(Poco::Net::StreamSocket &socket)
    {
        std::string refusal;
        for (std::string head = ScriptedTarget::readHead(socket); !head.empty();
             head = ScriptedTarget::readHead(socket)) {
            if (isHealthCheck(head)) {
                ScriptedTarget::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                return;
            }
            const std::string id = idIn(head);
            if (id == "refused") {
                refusal = refusalText;
                refusal.append("Request-Id: ").append(id).append("\r\nContent-Length: 0\r\n\r\n");
                ScriptedTarget::write(socket, refusal);
                continue;
            }
            ++runs;
            ScriptedTarget::write(socket, refusalText + m_repeatedHeaders + "Content-Length: 0\r\n\r\n");
            std::this_thread::sleep_for(Milliseconds(50));
            ScriptedTarget::write(socket, soundAnswer("booked", "Request-Id: " + id + "\r\n"));
        }
    }

    std::string m_repeatedHeaders;
    ScriptedTarget m_first;
    ScriptedTarget m_second;
};

/// A target that answers the first request with a text and then with the same bytes again and again, until the gateway
/// closes the connection.
class EndlessTarget
{
public:
    EndlessTarget(std::string begin, std::string repeated)
        : m_begin(std::move(begin)), m_repeated(std::move(repeated)), m_target([this](Poco::Net::StreamSocket &socket) {
            serve(socket);
        })
    {
    }
    ~EndlessTarget()
    {
        m_isStopped = true;
    }
    EndlessTarget(const EndlessTarget &) = delete;
    EndlessTarget &operator=(const EndlessTarget &) = delete;

    const Poco::Net::SocketAddress &address() const
    {
        return m_target.address();
    }
    /// Waits until the request that is to be answered without end has arrived.
    void waitForRequest() const
    {
        while (!m_hasRequest) {
            std::this_thread::sleep_for(Milliseconds(1));
        }
    }
    /// Waits until the gateway has closed the connection, and returns whether it did so in time.
    bool waitForEnd(Milliseconds time)
    {
        waitForRequest();
        const auto end = std::chrono::steady_clock::now() + time;
        bool hasEnded = ScriptedTarget::isClosed(*m_request);
        while (!hasEnded && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(Milliseconds(5));
            hasEnded = ScriptedTarget::isClosed(*m_request);
        }
        m_isStopped = true;
        return hasEnded;
    }
    std::size_t written() const
    {
        return m_written;
    }

    std::atomic<bool> mayAnswer { true }; ///< Until it is set, no answer begins.

private:
    void serve(Poco::Net::StreamSocket &socket)
    {
        if (isHealthCheck(ScriptedTarget::readHead(socket))) {
            ScriptedTarget::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            return;
        }
        if (!m_isTaken.exchange(true)) {
            m_request = socket;
            m_hasRequest = true;
        }
        // By itself the kernel takes megabytes that the gateway doesn't read, and the more, the later its thread runs.
        socket.setSendBufferSize(sendBufferBytes);
        while (!mayAnswer && !m_isStopped) {
            std::this_thread::sleep_for(Milliseconds(1));
        }
        try {
            ScriptedTarget::write(socket, m_begin);
            while (!m_isStopped) {
                ScriptedTarget::write(socket, m_repeated);
                m_written += m_repeated.size();
            }
        } catch (const Poco::Exception &) {
            // The gateway has closed the connection. The test still looks at it.
            while (!m_isStopped) {
                std::this_thread::sleep_for(Milliseconds(1));
            }
        }
    }

    static constexpr int sendBufferBytes = 100'000;

    std::string m_begin;
    std::string m_repeated;
    std::atomic<std::size_t> m_written { 0 };
    std::atomic<bool> m_isTaken { false };
    std::optional<Poco::Net::StreamSocket> m_request; ///< The connection of the first request; set before the flag.
    std::atomic<bool> m_hasRequest { false };
    std::atomic<bool> m_isStopped { false };
    ScriptedTarget m_target;
};

/// Reads an answer until the gateway ends the connection. Returns whether it is a refusal, or cut by a reset.
bool endsIncomplete(Poco::Net::StreamSocket &socket)
{
    std::array<char, 65'536> buffer {};
    std::string begin;
    try {
        for (int count = socket.receiveBytes(buffer.data(), buffer.size()); count > 0;
             count = socket.receiveBytes(buffer.data(), buffer.size())) {
            if (begin.empty()) {
                begin.assign(buffer.data(), static_cast<std::size_t>(count));
            }
        }
    } catch (const Poco::Net::ConnectionResetException &) {
        return true;
    }
    return begin.starts_with("HTTP/1.1 502 ");
}

// What the gateway may read of an answer that is none, with what the kernel's buffers hold beyond it.
constexpr std::size_t mostReadInVain = 8'000'000;
// What the buffers of the kernel hold of an answer that its caller doesn't read.
constexpr std::size_t mostHeldByCaller = 8'000'000;
const std::string filler(10'000, 'x');

} // namespace

TEST_CASE("A refusal that a target sends once more is not taken for the answer to the next booking")
{
    // Guards against a booking that runs at two targets, or is refused as not run while a target runs it, because the
    // target repeats an earlier refusal on a connection that was kept.
    for (const std::string headers : { "Request-Id: refused\r\n", "" }) {
        CAPTURE(headers);
        RepeatedRefusal targets(headers);
        const CallerAnswer answer = targets.book();
        CHECK(answer.status == 200);
        CHECK(answer.body == "booked");
        CHECK(targets.runs == 1);
    }
}

TEST_CASE("An answer without an id that a target sends once more does not reach the next caller")
{
    // Guards against a caller that gets the answer to another request when the copy doesn't name its request.
    std::atomic<int> answers { 0 };
    ScriptedTarget target(answering([&](const std::string &head) {
        const std::string own = soundAnswer("own", "Request-Id: " + idIn(head) + "\r\n");
        return answers++ == 0 ? own : soundAnswer("copy", "") + own;
    }));
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    for (const char *id : { "first", "second" }) {
        CHECK(callWithId(fixture, "GET /read/a", id).body == "own");
    }
    CHECK(target.accepted() == 1);
}

TEST_CASE("A connection whose answer names no request is not used again")
{
    // Guards against answers that can't be told apart on a kept connection of a target that echoes no ids.
    ScriptedTarget target(answering([](const std::string &) {
        return soundAnswer("own", "");
    }));
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    for (const char *id : { "first", "second" }) {
        CHECK(callWithId(fixture, "GET /read/a", id).body == "own");
    }
    CHECK(target.accepted() == 2);
}

TEST_CASE("An answer that never ends is given up on, and neither fills the memory nor delays other requests")
{
    // Guards against a faulty target that sends bytes without end: in a head, before or after it, in the body of a
    // refusal or of an answer without a seal, or as answers to other requests.
    struct Answer
    {
        std::string what;
        std::string begin;
        std::string repeated;
        bool isNotRun { false }; ///< The target says that it doesn't run the request, so that another one may.
    };
    const std::string foreign = soundAnswer(filler, "Request-Id: other\r\n");
    const std::vector<Answer> answers {
        { "blank lines", "", std::string(10'000, '\n') },
        { "status line", "HTTP/1.1 200 ", filler },
        { "header lines", "HTTP/1.1 200 OK\r\n", "Name: " + filler + "\r\n" },
        { "informational answers", "", "HTTP/1.1 102 Processing\r\n\r\n" },
        { "answers to other requests", "", foreign },
        { "refusal with a length", refusalText + "Request-Id: r1\r\nContent-Length: 99999999999\r\n\r\n", filler,
          true },
        { "refusal in chunks", refusalText + "Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n",
          "2710\r\n" + filler + "\r\n", true },
        { "body without a seal", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n", filler },
        { "chunk extension", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5;", filler },
    };
    for (const Answer &answer : answers) {
        CAPTURE(answer.what);
        EndlessTarget faulty(answer.begin, answer.repeated);
        ScriptedTarget sound(answering([](const std::string &head) {
            return soundAnswer("sound", "Request-Id: " + idIn(head) + "\r\n");
        }));
        GatewayFixture fixture;
        fixture.applyRules(Milliseconds(2'000));
        fixture.applyTargets({ fixture.targetEntry("t1", faulty.address()) });
        std::future<CallerAnswer> booking = std::async(std::launch::async, [&] {
            return fixture.call("POST", "/book/a");
        });
        faulty.waitForRequest();
        fixture.applyTargets(
            { fixture.targetEntry("t1", faulty.address()), fixture.targetEntry("t2", sound.address()) });
        CHECK(fixture.call("GET", "/read/a").body == "sound");
        CHECK(faulty.waitForEnd(Milliseconds(1'000)));
        CHECK(faulty.written() < mostReadInVain);
        CHECK(booking.get().status == (answer.isNotRun ? 200 : 502));
    }
}

TEST_CASE("A valid answer without end ends with the time of its route, and is not kept for a caller that doesn't read")
{
    // Guards against a faulty target that fills the memory, or keeps a connection busy, with the body of an answer that
    // it began well: its length is missing or too large, or its chunks or trailers never end.
    struct Answer
    {
        std::string what;
        std::string begin;
        std::string repeated;
    };
    const std::string head = "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: r1\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<Answer> answers {
        { "no length", head + "\r\n", filler },
        { "length", head + "Content-Length: 99999999999\r\n\r\n", filler },
        { "chunks", chunked, "2710\r\n" + filler + "\r\n" },
        { "chunk without end", chunked + "fffffffffff\r\n", filler },
        { "chunk size without end", chunked + "5\r\nbegin\r\n", std::string(10'000, '0') },
        { "trailer line", chunked + "0\r\nName: ", filler },
        { "trailer lines", chunked + "0\r\n", "Name: value\r\n" },
    };
    constexpr Milliseconds timeout { 300 };
    for (const Answer &answer : answers) {
        for (const bool isRead : { true, false }) {
            CAPTURE(answer.what);
            CAPTURE(isRead);
            EndlessTarget target(answer.begin, answer.repeated);
            GatewayFixture fixture;
            fixture.applyRules(timeout);
            fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
            Poco::Net::StreamSocket socket = fixture.connect();
            GatewayFixture::send(socket,
                                 "POST /book/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n"
                                 "Connection: close\r\n\r\n");
            if (isRead) {
                CHECK(endsIncomplete(socket));
            }
            CHECK(target.waitForEnd(timeout + Milliseconds(500)));
            CHECK((isRead || target.written() < mostReadInVain + mostHeldByCaller));
        }
    }
}

TEST_CASE("An endless answer to a booking whose caller has left ends with the time of its route")
{
    // Guards against a connection that a target keeps busy for ever, since nobody waits for the answer any more.
    EndlessTarget target("HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: r1\r\n\r\n", filler);
    target.mayAnswer = false;
    GatewayFixture fixture;
    fixture.applyRules(Milliseconds(500));
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    {
        Poco::Net::StreamSocket socket = fixture.connect();
        GatewayFixture::send(socket, "POST /book/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n\r\n");
        target.waitForRequest();
    }
    // The gateway has seen the caller's close then.
    finishRound(fixture.loop());
    target.mayAnswer = true;
    CHECK(target.waitForEnd(Milliseconds(2'000)));
    CHECK(target.written() > 0);
}
