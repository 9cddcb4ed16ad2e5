#include <Fakes/AnswerRows.h>
#include <LibCore/BootClock.h>
#include <LibPlatform/PlatformConnection.h>

#include <Poco/Net/ServerSocket.h>

#include <doctest/doctest.h>

#include <thread>

using namespace Sapphire;

namespace {

constexpr std::size_t mostAnswerBytes = 100'000;

/// Answers one request on one connection with the given bytes and keeps the connection open until the client closes it.
class OneAnswerServer
{
public:
    explicit OneAnswerServer(const std::string &bytes)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0)), m_thread([this, bytes] {
            Poco::Net::StreamSocket connection = m_socket.acceptConnection();
            char buffer[4096];
            connection.receiveBytes(buffer, sizeof buffer);
            connection.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
            connection.receiveBytes(buffer, sizeof buffer);
        })
    {
    }
    ~OneAnswerServer()
    {
        m_thread.join();
    }
    OneAnswerServer(const OneAnswerServer &) = delete;
    OneAnswerServer &operator=(const OneAnswerServer &) = delete;

    Poco::Net::SocketAddress address() const
    {
        return m_socket.address();
    }

private:
    Poco::Net::ServerSocket m_socket;
    std::thread m_thread;
};

} // namespace

TEST_CASE("PlatformConnection takes what is an answer and nothing else")
{
    // Guards against a status or a body of the platform that is read from bytes that are no answer.
    const BootClock clock;
    for (const AnswerRow &row : answerRows()) {
        CAPTURE(row.name);
        OneAnswerServer server(row.withFields());
        const Deadline deadline = Deadline::after(clock.now(), Milliseconds(3'000));
        Outcome<std::unique_ptr<PlatformConnection>> connection = capture([&] {
            return PlatformConnection::create(server.address(), deadline);
        });
        REQUIRE(connection);
        PlatformRequest request;
        request.method = "GET";
        request.path = "/rows";
        const Outcome<PlatformAnswer> answer = capture([&] {
            return connection.value()->exchange(request, mostAnswerBytes, deadline);
        });
        if (row.isValid) {
            REQUIRE(answer);
            CHECK(answer.value().status == row.status);
            CHECK(answer.value().body == row.body);
        } else {
            REQUIRE(!answer);
            CHECK(nameOf(answer.error().code) == nameOf(ErrorCode::Unavailable));
        }
    }
}
