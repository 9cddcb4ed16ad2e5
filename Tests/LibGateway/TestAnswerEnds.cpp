#include <LibGateway/GatewayFixture.h>

#include <algorithm>
#include <atomic>

using namespace Sapphire;

namespace {

// More than the sockets take while the target doesn't read.
constexpr std::size_t longBody = 16'000'000;
const std::string sealedHead = "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: r1\r\nConnection: close\r\n\r\n";
// Longer than an answer is held back before the caller gets its beginning.
constexpr Milliseconds untilDelivered { 120 };

/// A caller that uploads a long body and reads the answer meanwhile.
class Uploader
{
public:
    /// Sends until the gateway takes no more. Later calls to send would take a reset off the socket before it is read.
    CallerAnswer uploadUntilBlocked(GatewayFixture &fixture, const std::string &version)
    {
        return upload(fixture, version, Poco::Timespan(0, 50'000));
    }
    CallerAnswer uploadAll(GatewayFixture &fixture)
    {
        return upload(fixture, "HTTP/1.1", Poco::Timespan(5, 0));
    }
    void waitUntilSent() const
    {
        while (!m_hasEnded) {
            std::this_thread::sleep_for(Milliseconds(1));
        }
    }

private:
    CallerAnswer upload(GatewayFixture &fixture, const std::string &version, const Poco::Timespan &sendTimeout)
    {
        Poco::Net::StreamSocket socket = fixture.connect();
        socket.setSendTimeout(sendTimeout);
        std::thread sender([this, &socket, &version] {
            try {
                GatewayFixture::send(socket,
                                     "POST /book/a " + version
                                         + "\r\nHost: h.example\r\nRequest-Id: r1\r\nContent-Length: "
                                         + std::to_string(longBody) + "\r\n\r\n" + std::string(longBody, 'x'));
            } catch (const Poco::Exception &) {
                // The gateway takes no more.
            }
            m_hasEnded = true;
        });
        CallerAnswer answer = GatewayFixture::receive(socket);
        sender.join();
        return answer;
    }

    std::atomic<bool> m_hasEnded { false };
};

/// Serves uploads with a script; health checks are passed.
ScriptedTarget::Script uploading(std::function<void(Poco::Net::StreamSocket &)> script)
{
    return [script = std::move(script)](Poco::Net::StreamSocket &socket) {
        const std::string head = ScriptedTarget::readHead(socket);
        if (head.starts_with("GET /health ")) {
            ScriptedTarget::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        } else if (!head.empty()) {
            script(socket);
        }
    };
}

void readBytes(Poco::Net::StreamSocket &socket, std::size_t count)
{
    std::string buffer(65'536, '\0');
    while (count > 0) {
        const int received = socket.receiveBytes(buffer.data(), static_cast<int>(std::min(buffer.size(), count)));
        if (received <= 0) {
            return;
        }
        count -= static_cast<std::size_t>(received);
    }
}

bool looksComplete(const CallerAnswer &answer)
{
    return answer.status == 200 && !answer.isCut;
}

} // namespace

TEST_CASE("An answer without a length whose connection ends before the request was sent looks cut to the caller")
{
    // Guards against the beginning of an answer that a caller takes for the whole one.
    std::function<void(Poco::Net::StreamSocket &)> end;
    std::string version = "HTTP/1.1";
    SUBCASE("reset")
    {
        end = [](Poco::Net::StreamSocket &socket) {
            socket.setLinger(true, 0);
        };
    }
    SUBCASE("reset, caller of HTTP/1.0")
    {
        version = "HTTP/1.0";
        end = [](Poco::Net::StreamSocket &socket) {
            socket.setLinger(true, 0);
        };
    }
    SUBCASE("closed with unread bytes")
    {
        end = [](Poco::Net::StreamSocket &) {};
    }
    SUBCASE("half-closed")
    {
        end = [](Poco::Net::StreamSocket &socket) {
            socket.shutdownSend();
            std::this_thread::sleep_for(untilDelivered);
        };
    }
    GatewayFixture fixture;
    Uploader uploader;
    ScriptedTarget target(uploading([&](Poco::Net::StreamSocket &socket) {
        ScriptedTarget::write(socket, sealedHead + std::string(40'000, 'a'));
        std::this_thread::sleep_for(untilDelivered);
        uploader.waitUntilSent();
        end(socket);
    }));
    fixture.applyRules(Milliseconds(4'000));
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    const CallerAnswer answer = uploader.uploadUntilBlocked(fixture, version);
    CHECK(answer.status == 200);
    CHECK(!looksComplete(answer));
}

TEST_CASE("An answer without a length that is reset at once isn't passed on as complete")
{
    // Guards against the same fault while the beginning of the answer is still held back.
    for (int i = 0; i < 5; ++i) {
        GatewayFixture fixture;
        Uploader uploader;
        ScriptedTarget target(uploading([&uploader](Poco::Net::StreamSocket &socket) {
            uploader.waitUntilSent();
            ScriptedTarget::write(socket, sealedHead + "part");
            socket.setLinger(true, 0);
        }));
        fixture.applyRules(Milliseconds(4'000));
        fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
        CHECK(!looksComplete(uploader.uploadUntilBlocked(fixture, "HTTP/1.1")));
    }
}

TEST_CASE("An answer without a length that begins before the request's body was read is passed on whole")
{
    // Guards against a sound target's answer that is cut.
    GatewayFixture fixture;
    ScriptedTarget target(uploading([](Poco::Net::StreamSocket &socket) {
        ScriptedTarget::write(socket, sealedHead + "first,");
        std::this_thread::sleep_for(untilDelivered);
        readBytes(socket, longBody);
        ScriptedTarget::write(socket, "last");
    }));
    fixture.applyRules(Milliseconds(4'000));
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    const CallerAnswer answer = Uploader().uploadAll(fixture);
    CHECK(looksComplete(answer));
    CHECK(answer.body.find("first,") != std::string::npos);
    CHECK(answer.body.find("last") != std::string::npos);
    CHECK(answer.body.ends_with("0\r\n\r\n"));
}
