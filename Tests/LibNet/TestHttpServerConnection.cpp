#include <Fakes/FinishRound.h>
#include <LibCore/BootClock.h>
#include <LibNet/HttpListener.h>

#include <Poco/Net/StreamSocket.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <future>
#include <memory>
#include <thread>

using namespace Sapphire;

namespace {

/// Answers with a function that the test provides.
class FunctionHandler final : public HttpRequestHandler
{
public:
    using Answer = std::function<void(HttpServerConnection &, const HttpHead &)>;

    FunctionHandler(const Answer &answer, std::vector<std::string> &events) : m_answer(answer), m_events(events)
    {
    }

    void begin(HttpServerConnection &connection, const HttpHead &head) override
    {
        m_events.push_back("begin " + head.target);
        m_connection = &connection;
        m_head = head;
        if (head.target.starts_with("/early")) {
            m_answer(connection, head);
            m_connection = nullptr;
        }
    }
    void bodyReceived(std::string_view bytes, bool isComplete) override
    {
        m_body.append(bytes);
        if (isComplete && m_connection != nullptr) {
            m_events.push_back("body " + m_body);
            m_answer(*m_connection, m_head);
        }
    }
    void callerGone() override
    {
        m_events.push_back("gone");
        m_connection = nullptr;
    }

private:
    const Answer &m_answer;
    std::vector<std::string> &m_events;
    HttpServerConnection *m_connection { nullptr };
    HttpHead m_head;
    std::string m_body;
};

/// A listener with an event loop on its own thread.
class Server final : private HttpHandlerFactory, private HttpServerPolicy
{
public:
    explicit Server(FunctionHandler::Answer answer) : m_answer(std::move(answer))
    {
        Outcome<std::unique_ptr<EventLoop>> loop = capture([&] {
            return EventLoop::create(m_clock);
        });
        REQUIRE(loop);
        m_loop = std::move(loop.value());
        Outcome<std::unique_ptr<HttpListener>> listener = capture([&] {
            return HttpListener::create(*m_loop, Poco::Net::SocketAddress("127.0.0.1", 0), *this, *this);
        });
        REQUIRE(listener);
        m_listener = std::move(listener.value());
        m_thread = std::thread([this] {
            m_loop->run();
        });
    }
    ~Server() override
    {
        stop();
        m_listener.reset();
    }

    Poco::Net::SocketAddress address() const
    {
        return m_listener->address();
    }
    Poco::Net::StreamSocket connect() const
    {
        Poco::Net::StreamSocket socket(m_listener->address());
        socket.setReceiveTimeout(Poco::Timespan(3, 0));
        return socket;
    }
    EventLoop &loop()
    {
        return *m_loop;
    }
    /// Waits until the handlers have recorded an event.
    void waitFor(const std::string &event)
    {
        while (!hasRecorded(event)) {
            std::this_thread::sleep_for(Milliseconds(1));
        }
    }
    /// Stops the thread and returns what the handlers recorded.
    std::vector<std::string> stop()
    {
        if (m_thread.joinable()) {
            m_loop->stop();
            m_thread.join();
        }
        return m_events;
    }

    HttpServerLimits serverLimits;
    std::atomic<bool> isLeaving { false };

private:
    /// Looks on the loop's thread.
    bool hasRecorded(const std::string &event)
    {
        auto found = std::make_shared<std::promise<bool>>();
        REQUIRE(m_loop->post([this, event, found] {
            found->set_value(std::find(m_events.begin(), m_events.end(), event) != m_events.end());
        }));
        return found->get_future().get();
    }
    RefPointer<HttpRequestHandler> createHandler() override
    {
        return makeRefCounted<FunctionHandler>(m_answer, m_events);
    }
    HttpServerLimits limits() const override
    {
        return serverLimits;
    }
    bool isClosing() const override
    {
        return isLeaving;
    }

    BootClock m_clock;
    FunctionHandler::Answer m_answer;
    std::vector<std::string> m_events;
    std::unique_ptr<EventLoop> m_loop;
    std::unique_ptr<HttpListener> m_listener;
    std::thread m_thread;
};

void send(Poco::Net::StreamSocket &socket, const std::string &text)
{
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
}

/// Reads until the text has arrived or the server closes the connection.
std::string receiveUntil(Poco::Net::StreamSocket &socket, const std::string &text)
{
    std::string received;
    char byte = 0;
    while (text.empty() || received.find(text) == std::string::npos) {
        if (socket.receiveBytes(&byte, 1) <= 0) {
            break;
        }
        received += byte;
    }
    return received;
}

// More than the kernel takes over from a sender whose peer doesn't read.
constexpr std::size_t largeAnswer = 16'000'000;

Poco::Net::StreamSocket connectWithSmallWindow(const Server &server)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress::IPv4);
    socket.setReceiveBufferSize(4'096);
    socket.connect(server.address());
    socket.setReceiveTimeout(Poco::Timespan(3, 0));
    return socket;
}

/// Reads until the server closes the connection, or sends nothing for a second, and returns the number of bytes.
std::size_t receivedBytes(Poco::Net::StreamSocket &socket)
{
    socket.setReceiveTimeout(Poco::Timespan(1, 0));
    std::vector<char> buffer(65'536);
    std::size_t bytes = 0;
    try {
        for (int count = 1; count > 0; bytes += static_cast<std::size_t>(count)) {
            count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        }
    } catch (const Poco::Exception &) {
        return bytes;
    }
    return bytes;
}

void answerOk(HttpServerConnection &connection, const HttpHead &head)
{
    connection.answer({ 200, {}, {}, {} }, "answer to " + head.target + ".");
}

} // namespace

TEST_CASE("HttpServerConnection answers pipelined requests in order on one connection")
{
    // Guards against answers that are paired with the wrong request.
    Server server(answerOk);
    Poco::Net::StreamSocket socket = server.connect();
    send(socket, "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nxyGET /b HTTP/1.1\r\n\r\n");
    const std::string received = receiveUntil(socket, "answer to /b.");
    CHECK(received.find("answer to /a.") < received.find("answer to /b."));
    CHECK(server.stop() == std::vector<std::string> { "begin /a", "body xy", "begin /b", "body " });
}

TEST_CASE("HttpServerConnection closes the connection after an answer that precedes the end of the body")
{
    // Guards against reading the rest of a body as the next request.
    Server server(answerOk);
    Poco::Net::StreamSocket socket = server.connect();
    send(socket, "POST /early HTTP/1.1\r\nContent-Length: 40\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n");
    const std::string received = receiveUntil(socket, "");
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(received.find("answer to /early.") != std::string::npos);
    CHECK(server.stop() == std::vector<std::string> { "begin /early" });
}

TEST_CASE("HttpServerConnection notifies the handler when the caller closes the connection")
{
    // Guards against continuing work for a caller that has left.
    Server server([](HttpServerConnection &, const HttpHead &) {});
    {
        Poco::Net::StreamSocket socket = server.connect();
        send(socket, "GET /slow HTTP/1.1\r\n\r\n");
        server.waitFor("begin /slow");
    }
    finishRound(server.loop());
    CHECK(server.stop().back() == "gone");
}

TEST_CASE("HttpServerConnection resets the connection of an aborted answer")
{
    // Guards against a caller that takes a partial answer for a complete one.
    Server server([](HttpServerConnection &connection, const HttpHead &) {
        connection.startAnswer({ 200, {}, {}, {} });
        connection.writeBody("part");
        connection.abortAnswer();
    });
    Poco::Net::StreamSocket socket = server.connect();
    send(socket, "GET / HTTP/1.1\r\n\r\n");
    std::string received;
    CHECK_THROWS(received = receiveUntil(socket, ""));
    CHECK(received.find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("HttpServerConnection answers malformed requests and closes the connection")
{
    // Guards against reading the bytes of a malformed request as another request.
    Server server(answerOk);
    Poco::Net::StreamSocket socket = server.connect();
    send(socket, "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    CHECK(receiveUntil(socket, "").starts_with("HTTP/1.1 400 "));
    CHECK(server.stop().empty());
}

TEST_CASE("HttpServerConnection applies a changed limit of heads to connections that are open")
{
    // Guards against proper requests that are answered 431 on connections which were opened before the operator raised
    // the limit, or before the configuration was known, and against larger ones on them after it was lowered.
    Server server([&server](HttpServerConnection &connection, const HttpHead &head) {
        server.serverLimits.headBytes = head.target == "/raise" ? 8'192 : 256;
        answerOk(connection, head);
    });
    server.serverLimits.headBytes = 256;
    Poco::Net::StreamSocket socket = server.connect();
    // In two pieces, since the limit bounds what is kept of a head that isn't complete.
    const auto sendLargeHead = [&socket] {
        send(socket, "GET /lower HTTP/1.1\r\nName: " + std::string(4'000, 'x'));
        std::this_thread::sleep_for(Milliseconds(20));
        send(socket, "\r\n\r\n");
    };
    send(socket, "GET /raise HTTP/1.1\r\n\r\n");
    CHECK(receiveUntil(socket, "answer to /raise.").starts_with("HTTP/1.1 200 "));
    sendLargeHead();
    CHECK(receiveUntil(socket, "answer to /lower.").starts_with("HTTP/1.1 200 "));
    sendLargeHead();
    CHECK(receiveUntil(socket, "\r\n\r\n").starts_with("HTTP/1.1 431 "));
}

TEST_CASE("HttpServerConnection closes a connection if the head does not arrive in time")
{
    // Guards against callers that hold connections without sending a request.
    Server server(answerOk);
    server.serverLimits.headTimeout = Milliseconds(100);
    Poco::Net::StreamSocket socket = server.connect();
    send(socket, "GET / HTTP/1.1\r\nHos");
    CHECK(receiveUntil(socket, "").empty());
}

TEST_CASE("HttpServerConnection announces closing while the process is stopping")
{
    // Guards against a caller that sends its next request on a connection that is about to close.
    Server server(answerOk);
    Poco::Net::StreamSocket socket = server.connect();
    send(socket, "GET /a HTTP/1.1\r\n\r\n");
    CHECK(receiveUntil(socket, "answer to /a.").find("Connection: close") == std::string::npos);
    server.isLeaving = true;
    send(socket, "GET /b HTTP/1.1\r\n\r\n");
    CHECK(receiveUntil(socket, "").find("Connection: close") != std::string::npos);
}

TEST_CASE("HttpServerConnection keeps a connection that it announced as kept when a stop begins during the answer")
{
    // Guards against a planned stop that closes a connection on which the caller may send its next request, which would
    // end without an answer.
    std::atomic<bool> *isLeaving = nullptr;
    Server server([&isLeaving](HttpServerConnection &connection, const HttpHead &head) {
        const std::string body = "answer to " + head.target + ".";
        connection.startAnswer({ 200, {}, {}, body.size() });
        *isLeaving = true;
        connection.writeBody(body);
        connection.finishAnswer(Deadline::never());
    });
    isLeaving = &server.isLeaving;
    Poco::Net::StreamSocket socket = server.connect();
    send(socket, "GET /a HTTP/1.1\r\n\r\n");
    CHECK(receiveUntil(socket, "answer to /a.").find("Connection: close") == std::string::npos);
    send(socket, "GET /b HTTP/1.1\r\n\r\n");
    const std::string last = receiveUntil(socket, "");
    CHECK(last.find("Connection: close") != std::string::npos);
    CHECK(last.ends_with("answer to /b."));
}

TEST_CASE("HttpServerConnection sends 100 Continue to a caller that expects it")
{
    // Guards against a deadlock in which caller and server wait for each other.
    Server server(answerOk);
    Poco::Net::StreamSocket socket = server.connect();
    send(socket, "POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    CHECK(receiveUntil(socket, "\r\n\r\n").starts_with("HTTP/1.1 100 "));
    send(socket, "xy");
    CHECK(receiveUntil(socket, "answer to /a.").starts_with("HTTP/1.1 200 "));
}

TEST_CASE("HttpServerConnection lets a caller read the last answer to its end, however long it takes to begin")
{
    // Guards against answers that are cut a second after their end was handed over, while a slow caller still reads.
    const std::string body(largeAnswer, 'a');
    Server server([&body](HttpServerConnection &connection, const HttpHead &) {
        connection.answer({ 200, {}, {}, {} }, body);
    });
    Poco::Net::StreamSocket socket = connectWithSmallWindow(server);
    send(socket, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    std::this_thread::sleep_for(Milliseconds(1'500));
    CHECK(receivedBytes(socket) > largeAnswer);
}

TEST_CASE("HttpServerConnection doesn't count the time to read an answer as idle")
{
    // Guards against a kept connection that is closed while its caller still reads.
    const std::string body(largeAnswer, 'a');
    Server server([&body](HttpServerConnection &connection, const HttpHead &) {
        connection.answer({ 200, {}, {}, {} }, body);
    });
    server.serverLimits.idleTimeout = Milliseconds(200);
    Poco::Net::StreamSocket socket = connectWithSmallWindow(server);
    send(socket, "GET / HTTP/1.1\r\n\r\n");
    std::this_thread::sleep_for(Milliseconds(600));
    CHECK(receivedBytes(socket) > largeAnswer);
}

TEST_CASE("HttpServerConnection resets the connection of a caller that doesn't read its answer in time")
{
    // Guards against memory and connections that callers hold by not reading, and against a cut answer that looks
    // whole.
    const BootClock clock;
    Server server([&clock](HttpServerConnection &connection, const HttpHead &) {
        connection.startAnswer({ 200, {}, {}, largeAnswer });
        connection.writeBody(std::string(largeAnswer, 'a'));
        connection.finishAnswer(Deadline::after(clock.now(), Milliseconds(300)));
    });
    Poco::Net::StreamSocket socket = connectWithSmallWindow(server);
    send(socket, "GET / HTTP/1.1\r\n\r\n");
    std::this_thread::sleep_for(Milliseconds(600));
    CHECK(receivedBytes(socket) < largeAnswer);
}

TEST_CASE("HttpServerConnection notices that the caller has left while its body is not read")
{
    // Guards against work for a caller who has gone, for as long as reading from it is paused.
    Server server([](HttpServerConnection &connection, const HttpHead &) {
        connection.setReading(false);
    });
    {
        Poco::Net::StreamSocket socket = server.connect();
        send(socket, "POST /early HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n");
        server.waitFor("begin /early");
        send(socket, std::string(50'000, 'b'));
    }
    finishRound(server.loop());
    CHECK(server.stop().back() == "gone");
}
