#include <LibPlatform/HttpTableService.h>

#include "PlatformFixture.h"

#include <StandIns/FaultProxy/FaultProxyServer.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <thread>
#include <vector>

using namespace Sapphire;

namespace {

const TableName table("requests");
constexpr Milliseconds defaultTimeout { 2000 };

struct TableFixture : PlatformFixture
{
    TableFixture()
        : service(expect([&] {
            return HttpTableService::create(settings());
        }))
    {
    }

    Outcome<RowTag> insert(const std::string &key, const std::string &value, Milliseconds time = defaultTimeout)
    {
        return capture([&] {
            return service->insert(table, key, value, deadlineIn(time));
        });
    }
    Outcome<Row> read(const std::string &key, Milliseconds time = defaultTimeout)
    {
        return capture([&] {
            return service->read(table, key, deadlineIn(time));
        });
    }

    std::unique_ptr<HttpTableService> service;
};

std::string addressOfFreePort()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1:0"));
    return socket.address().toString();
}

/// A server of one connection at a time that sends a fixed text for each request, byte by byte if there is a pause.
class RawServer
{
public:
    explicit RawServer(std::string text, Milliseconds pause = Milliseconds(0))
        : m_text(std::move(text)), m_pause(pause), m_socket(Poco::Net::SocketAddress("127.0.0.1:0"))
    {
        m_thread = std::thread([this] {
            serve();
        });
    }
    ~RawServer()
    {
        m_socket.impl()->shutdown();
        m_thread.join();
    }
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    std::string address() const
    {
        return m_socket.address().toString();
    }

private:
    void serve()
    {
        try {
            for (;;) {
                Poco::Net::StreamSocket connection = m_socket.acceptConnection();
                char buffer[4096];
                if (connection.receiveBytes(buffer, sizeof(buffer)) > 0) {
                    send(connection);
                }
            }
        } catch (const Poco::Exception &) {
            // The destructor shuts the socket down, which ends acceptConnection().
        }
    }

    void send(Poco::Net::StreamSocket &connection) const
    {
        const int piece = m_pause == Milliseconds(0) ? static_cast<int>(m_text.size()) : 1;
        for (std::size_t sent = 0; sent < m_text.size(); sent += static_cast<std::size_t>(piece)) {
            connection.sendBytes(m_text.data() + sent, piece, MSG_NOSIGNAL);
            std::this_thread::sleep_for(m_pause);
        }
    }

    std::string m_text;
    Milliseconds m_pause;
    Poco::Net::ServerSocket m_socket;
    std::thread m_thread;
};

} // namespace

TEST_CASE_FIXTURE(TableFixture, "HttpTableService rejects conditional writes whose condition does not hold")
{
    // Guards against two writers that both believe that they wrote the row.
    const Outcome<RowTag> first = insert("customer/id", "one");
    REQUIRE(first);
    CHECK(insert("customer/id", "two").error().code == ErrorCode::Conflict);
    const Outcome<RowTag> second = capture([&] {
        return service->replace(table, "customer/id", "three", first.value(), deadlineIn(defaultTimeout));
    });
    REQUIRE(second);
    const Outcome<RowTag> stale = capture([&] {
        return service->replace(table, "customer/id", "four", first.value(), deadlineIn(defaultTimeout));
    });
    CHECK(stale.error().code == ErrorCode::Conflict);
    CHECK(stale.error().verdict == Verdict::NotRun);
    const Outcome<Row> row = read("customer/id");
    REQUIRE(row);
    CHECK(row.value().value == "three");
    CHECK(row.value().tag == second.value());
    const auto remove = [&](const RowTag &tag) {
        return capture([&] {
            return service->remove(table, "customer/id", tag, deadlineIn(defaultTimeout));
        });
    };
    CHECK(remove(first.value()).error().code == ErrorCode::Conflict);
    CHECK(remove(second.value()));
    CHECK(read("customer/id").error().code == ErrorCode::NotFound);
}

TEST_CASE_FIXTURE(TableFixture, "HttpTableService lists rows of any bytes in key order")
{
    // Guards against keys and values that the list's encoding damages, and against pages that overlap.
    const std::string bytes("\x00\xff\"/\n", 5);
    for (const char *key : { "b", "a/1", "c%2F", "\xff" }) {
        REQUIRE(insert(key, bytes + key));
    }
    const auto list = [&](const std::string &after, std::size_t limit) {
        return expect([&] {
            return service->list(table, after, limit, deadlineIn(defaultTimeout));
        });
    };
    const std::vector<Row> page = list("", 2);
    REQUIRE(page.size() == 2);
    CHECK(page[0].key == "a/1");
    CHECK(page[0].value == bytes + "a/1");
    const std::vector<Row> rest = list(page[1].key, 1000);
    REQUIRE(rest.size() == 2);
    CHECK(rest[0].key == "c%2F");
    CHECK(rest[1].key == "\xff");
    CHECK(rest[1].tag == read("\xff").value().tag);
    CHECK(list("\xff", 10).empty());
}

TEST_CASE_FIXTURE(TableFixture, "HttpTableService reports a write whose answer was lost as may have run")
{
    // Guards against a claim that counts as free although the row was written, and against a write sent twice.
    REQUIRE(insert("other", ""));
    server->parts().faults.setLostAnswers(1);
    const Outcome<RowTag> lost = insert("key", "mine");
    CHECK(lost.error().verdict == Verdict::MayHaveRun);
    CHECK(read("key").value().value == "mine");
    CHECK(server->parts().writes.count() == 2);
}

TEST_CASE_FIXTURE(TableFixture, "HttpTableService reports a refused write as not run")
{
    server->parts().faults.setOutage(OutageMode::Refuse);
    const Outcome<RowTag> refused = insert("key", "value");
    CHECK(refused.error().code == ErrorCode::Unavailable);
    CHECK(refused.error().verdict == Verdict::NotRun);
    server.reset();
    const Outcome<RowTag> notConnected = insert("key", "value");
    CHECK(notConnected.error().code == ErrorCode::Unavailable);
    CHECK(notConnected.error().verdict == Verdict::NotRun);
}

TEST_CASE_FIXTURE(TableFixture,
                  "HttpTableService fails at once while the platform is silent and recovers by a trial call")
{
    // Guards against threads that all wait for their deadlines during an outage, and against a breaker that stays open.
    REQUIRE(insert("key", "value"));
    server->parts().faults.setOutage(OutageMode::Silent);
    const Outcome<RowTag> write = insert("silent", "value", Milliseconds(50));
    CHECK(write.error().code == ErrorCode::Timeout);
    CHECK(write.error().verdict == Verdict::MayHaveRun);
    CHECK(read("key", Milliseconds(50)).error().code == ErrorCode::Timeout);
    CHECK(read("key", Milliseconds(50)).error().code == ErrorCode::Timeout);
    const TimePoint begin = BootClock().now();
    const Outcome<RowTag> notSent = insert("key2", "value");
    CHECK(notSent.error().code == ErrorCode::Unavailable);
    CHECK(notSent.error().verdict == Verdict::NotRun);
    CHECK(BootClock().now() - begin < Milliseconds(50));
    server->parts().faults.setOutage(OutageMode::None);
    std::this_thread::sleep_for(Milliseconds(150));
    CHECK(read("key"));
    CHECK(insert("key2", "value"));
}

TEST_CASE_FIXTURE(TableFixture, "HttpTableService keeps sending after calls with short deadlines timed out")
{
    // Guards against a few callers close to their deadlines that open the breaker for all others.
    REQUIRE(insert("key", "value"));
    server->parts().faults.setLatency(Milliseconds(20));
    for (int i = 0; i < 5; ++i) {
        CHECK(read("key", Milliseconds(5)).error().code == ErrorCode::Timeout);
    }
    CHECK(read("key"));
}

TEST_CASE_FIXTURE(TableFixture, "HttpTableService repeats a read whose pooled connection was closed, but not a write")
{
    // Guards against reads that fail after each restart of the platform.
    REQUIRE(insert("key", "value"));
    const std::string address = server->address();
    server.reset();
    server = expect([&] {
        return PlatformServer::create({ address });
    });
    CHECK(read("key").error().code == ErrorCode::NotFound);
    CHECK(insert("key", "value"));
}

TEST_CASE_FIXTURE(TableFixture,
                  "HttpTableService uses one connection for successive calls and a new one after a timeout")
{
    // Guards against a connection per call, and against a late answer that is taken for the answer to the next call.
    for (int i = 0; i < 10; ++i) {
        REQUIRE(insert(std::to_string(i), "value"));
    }
    CHECK(server->acceptedConnections() == 1);
    server->parts().faults.setLatency(Milliseconds(100));
    CHECK(read("1", Milliseconds(30)).error().code == ErrorCode::Timeout);
    server->parts().faults.setLatency(Milliseconds(0));
    CHECK(read("2").value().key == "2");
    CHECK(server->acceptedConnections() == 2);
}

TEST_CASE_FIXTURE(TableFixture, "HttpTableService drops silent pooled connections after one timeout")
{
    // Guards against calls that time out one after the other, each on another silent connection of the pool.
    const auto proxy = expect([] {
        return FaultProxyServer::create("127.0.0.1:0", 1);
    });
    const std::string link = addressOfFreePort();
    expect([&] {
        return proxy->engine().addLinks({ { "platform", link, server->address() } });
    });
    PlatformClientSettings settings;
    settings.address = link;
    service = expect([&] {
        return HttpTableService::create(settings);
    });
    server->parts().faults.setLatency(Milliseconds(30));
    std::vector<std::thread> threads(4);
    for (std::thread &thread : threads) {
        thread = std::thread([&] {
            static_cast<void>(read("none"));
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    server->parts().faults.setLatency(Milliseconds(0));
    CHECK(server->acceptedConnections() == 4);
    FaultCommand silence;
    silence.name = "platform";
    silence.silenceExisting = { true, true };
    expect([&] {
        return proxy->engine().apply(silence);
    });
    const Outcome<RowTag> write = insert("key", "value", Milliseconds(50));
    CHECK(write.error().code == ErrorCode::Timeout);
    CHECK(write.error().verdict == Verdict::MayHaveRun);
    CHECK(insert("key", "value"));
    CHECK(read("key").value().value == "value");
}

TEST_CASE_FIXTURE(TableFixture, "HttpTableService can be called from several threads at the same time")
{
    // Guards against answers that reach another thread's request.
    std::vector<std::thread> threads;
    std::vector<int> matches(8);
    for (std::size_t i = 0; i < matches.size(); ++i) {
        threads.emplace_back([&, i] {
            for (int round = 0; round < 20; ++round) {
                const std::string key = std::to_string(i) + "-" + std::to_string(round);
                const bool isWritten = static_cast<bool>(insert(key, key));
                const Outcome<Row> row = read(key);
                matches[i] += isWritten && row && row.value().value == key ? 1 : 0;
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(matches == std::vector<int>(matches.size(), 20));
}

TEST_CASE("HttpTableService fails at its deadline while the answer still arrives byte by byte")
{
    // Guards against timeouts that restart with each byte.
    const RawServer raw("HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: 10\r\n\r\n0123456789", Milliseconds(10));
    PlatformClientSettings settings;
    settings.address = raw.address();
    const auto service = expect([&] {
        return HttpTableService::create(settings);
    });
    const TimePoint begin = BootClock().now();
    const auto read = capture([&] {
        return service->read(table, "key", deadlineIn(Milliseconds(100)));
    });
    REQUIRE_FALSE(read);
    CHECK(read.error().code == ErrorCode::Timeout);
    CHECK(BootClock().now() - begin < Milliseconds(400));
}

TEST_CASE("HttpTableService rejects answers that are truncated, without a length or too large")
{
    // Guards against a truncated value that is taken for the complete one.
    struct Answer
    {
        std::string text;
        ErrorCode expected;
    };
    const std::vector<Answer> answers {
        { "HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: 10\r\n\r\nshort", ErrorCode::Unavailable },
        { "HTTP/1.1 200 OK\r\nETag: \"1\"\r\n\r\nuntil the end", ErrorCode::Unavailable },
        { "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", ErrorCode::Unavailable },
        { "HTTP/1.1 200 OK\r\nConte", ErrorCode::Unavailable },
        { "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n", ErrorCode::Unavailable },
        { "", ErrorCode::Unavailable },
    };
    for (const Answer &answer : answers) {
        CAPTURE(answer.text);
        const RawServer raw(answer.text);
        PlatformClientSettings settings;
        settings.address = raw.address();
        const auto service = expect([&] {
            return HttpTableService::create(settings);
        });
        const auto read = capture([&] {
            return service->read(table, "key", deadlineIn(defaultTimeout));
        });
        REQUIRE_FALSE(read);
        CHECK(read.error().code == answer.expected);
        const auto write = capture([&] {
            return service->insert(table, "key", "value", deadlineIn(defaultTimeout));
        });
        REQUIRE_FALSE(write);
        CHECK(write.error().verdict == Verdict::MayHaveRun);
    }
}

TEST_CASE("HttpTableService rejects invalid addresses")
{
    for (const char *address : { "", "host:80", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:70000" }) {
        CAPTURE(address);
        const auto outcome = capture([&] {
            PlatformClientSettings settings;
            settings.address = address;
            return HttpTableService::create(settings);
        });
        CHECK_FALSE(outcome);
    }
}
