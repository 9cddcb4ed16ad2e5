#include <LibCore/BootClock.h>
#include <LibNet/HttpListener.h>

#include <Poco/Net/StreamSocket.h>

#include <doctest/doctest.h>

#include <functional>
#include <thread>

using namespace Sapphire;

namespace {

/// Answers from a function of the test.
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

/// A listener on a thread of its own.
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

    Poco::Net::StreamSocket connect() const
    {
        Poco::Net::StreamSocket socket(m_listener->address());
        socket.setReceiveTimeout(Poco::Timespan(3, 0));
        return socket;
    }
    /// Ends the thread and returns what the handlers saw.
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

/// Reads until the text has arrived or the server closes.
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

void answerOk(HttpServerConnection &connection, const HttpHead &head)
{
    connection.answer({ 200, {}, {}, {} }, "answer to " + head.target + ".");
}

} // namespace

TEST_CASE("HttpServerConnection answers pipelined requests in order on one connection")
{
    // Guards against an answer that belongs to another request.
    Server server(answerOk);
    Poco::Net::StreamSocket socket = server.connect();
    send(socket, "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nxyGET /b HTTP/1.1\r\n\r\n");
    const std::string received = receiveUntil(socket, "answer to /b.");
    CHECK(received.find("answer to /a.") < received.find("answer to /b."));
    CHECK(server.stop() == std::vector<std::string> { "begin /a", "body xy", "begin /b", "body " });
}

TEST_CASE("HttpServerConnection ends the connection after an answer that came before the whole body")
{
    // Guards against the rest of a body that is read as the next request.
    Server server(answerOk);
    Poco::Net::StreamSocket socket = server.connect();
    send(socket, "POST /early HTTP/1.1\r\nContent-Length: 40\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n");
    const std::string received = receiveUntil(socket, "");
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(received.find("answer to /early.") != std::string::npos);
    CHECK(server.stop() == std::vector<std::string> { "begin /early" });
}

TEST_CASE("HttpServerConnection tells the handler that the caller has gone")
{
    // Guards against work that goes on for a caller that left.
    Server server([](HttpServerConnection &, const HttpHead &) {});
    {
        Poco::Net::StreamSocket socket = server.connect();
        send(socket, "GET /slow HTTP/1.1\r\n\r\n");
        std::this_thread::sleep_for(Milliseconds(50));
    }
    std::this_thread::sleep_for(Milliseconds(50));
    CHECK(server.stop().back() == "gone");
}

TEST_CASE("HttpServerConnection makes an aborted answer look cut")
{
    // Guards against a caller that takes a part of an answer for all of it.
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

TEST_CASE("HttpServerConnection answers what is no HTTP and ends the connection")
{
    // Guards against bytes of a broken request that are taken for another one.
    Server server(answerOk);
    Poco::Net::StreamSocket socket = server.connect();
    send(socket, "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    CHECK(receiveUntil(socket, "").starts_with("HTTP/1.1 400 "));
    CHECK(server.stop().empty());
}

TEST_CASE("HttpServerConnection closes a connection whose head does not arrive in time")
{
    // Guards against callers that hold connections without sending a request.
    Server server(answerOk);
    server.serverLimits.headTimeout = Milliseconds(100);
    Poco::Net::StreamSocket socket = server.connect();
    send(socket, "GET / HTTP/1.1\r\nHos");
    CHECK(receiveUntil(socket, "").empty());
}

TEST_CASE("HttpServerConnection says that it closes while the process is leaving")
{
    // Guards against a caller that sends its next request on a connection that is about to end.
    Server server(answerOk);
    Poco::Net::StreamSocket socket = server.connect();
    send(socket, "GET /a HTTP/1.1\r\n\r\n");
    CHECK(receiveUntil(socket, "answer to /a.").find("Connection: close") == std::string::npos);
    server.isLeaving = true;
    send(socket, "GET /b HTTP/1.1\r\n\r\n");
    CHECK(receiveUntil(socket, "").find("Connection: close") != std::string::npos);
}

TEST_CASE("HttpServerConnection asks for the body of a caller that waits to be asked")
{
    // Guards against a caller and a server that wait for each other.
    Server server(answerOk);
    Poco::Net::StreamSocket socket = server.connect();
    send(socket, "POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    CHECK(receiveUntil(socket, "\r\n\r\n").starts_with("HTTP/1.1 100 "));
    send(socket, "xy");
    CHECK(receiveUntil(socket, "answer to /a.").starts_with("HTTP/1.1 200 "));
}
