#include <LibTarget/TargetExchange.h>

#include <LibCore/BootClock.h>
#include <LibTarget/MemoryBody.h>
#include <LibTarget/MemorySink.h>
#include <LibTarget/ScriptedTarget.h>
#include <LibTarget/StandInRunner.h>

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace Sapphire;

namespace {

// More than the sockets take while the target doesn't read.
constexpr std::size_t longUpload = 16'000'000;

/// An exchange with its pool, and helpers to send requests through it.
struct Fixture
{
    explicit Fixture(const Poco::Net::SocketAddress &address, int connections = 4)
        : pool(address, connections, clock)
        , exchange({ TargetId("t0"), { RegionId("r"), AvailabilityZoneId("z") }, VmId("vm-1"), &pool }, clock)
    {
    }

    RequestHead head(const std::string &path, Milliseconds timeout = Milliseconds(2000)) const
    {
        RequestHead request;
        request.service = ServiceId("status");
        request.customer = CustomerId("bar");
        request.method = "GET";
        request.path = path;
        request.deadline = Deadline::after(clock.now(), timeout);
        request.bodyBytes = 0;
        return request;
    }
    AttemptReport run(const RequestHead &request, const std::string &text = "")
    {
        MemoryBody body(text);
        sink.emplace();
        return exchange.run(request, body, *sink);
    }

    BootClock clock;
    ConnectionPool pool;
    TargetExchange exchange;
    std::optional<MemorySink> sink;
};

std::string answer(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void checkRefusal(const AttemptReport &report, RefusalReason reason, Verdict verdict)
{
    REQUIRE(report.exchange.refusal);
    CHECK(nameOf(report.exchange.refusal->reason) == nameOf(reason));
    CHECK(nameOf(report.exchange.refusal->verdict) == nameOf(verdict));
}

} // namespace

TEST_CASE("TargetExchange forwards what a target needs but never the key")
{
    // Guards against keys, forged system headers or connection headers that reach a target.
    StandInSettings settings = StandInRunner::settings(1, 2, Milliseconds(0));
    settings.secrets = { "key-1.secret" };
    const StandInRunner standIn(settings);
    Fixture fixture { Poco::Net::SocketAddress(standIn.addressOf("t0")) };
    RequestHead request = fixture.head("/lines/7?x=1");
    request.id = RequestId("id-1");
    request.trace = TraceContext { "0123456789abcdef0123456789abcdef", "0123456789abcdef", true };
    request.headers = { { "Accept", "text/plain" },         { "authorization", "Bearer key-1.secret" },
                        { "Connection", "X-Hop, close" },   { "X-Hop", "1" },
                        { "Transfer-Encoding", "chunked" }, { "Sapphire-Customer", "forged" } };
    const AttemptReport report = fixture.run(request);
    CHECK_FALSE(report.exchange.refusal);
    CHECK(report.end == AttemptEnd::Answered);
    CHECK(fixture.sink->isFinished);
    CHECK(fixture.sink->head.status == 200);
    CHECK(fixture.sink->header("Content-Type") == "application/json");
    CHECK(fixture.sink->body == R"({"target":"t0","method":"GET","path":"/lines/7?x=1","id":"id-1"})");
    CHECK(standIn.control("findings")
          == R"({"headerNames":["Accept","Host","Idempotency-Key","Request-Timeout-Ms",)"
             R"("Sapphire-Customer","traceparent"],"findings":[]})");
    CHECK(standIn.control("ledger").find(R"("customer":"bar")") != std::string::npos);
}

TEST_CASE("TargetExchange reports a cut answer as cut")
{
    // Guards against a truncated answer that looks like a complete short one to the caller.
    const std::vector<std::string> answers {
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nabcde",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n",
        "HTTP/1.1 200 OK\r\n\r\nends with the connection",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "no HTTP at all\r\n\r\n",
    };
    for (const std::string &text : answers) {
        CAPTURE(text);
        const ScriptedTarget target([&](Poco::Net::StreamSocket &socket) {
            ScriptedTarget::readHead(socket);
            ScriptedTarget::write(socket, text);
        });
        Fixture fixture(target.address());
        checkRefusal(fixture.run(fixture.head("/")), RefusalReason::AnswerCut, Verdict::MayHaveRun);
        CHECK_FALSE(fixture.sink->isFinished);
        CHECK(fixture.pool.openCount() == 0);
    }
}

TEST_CASE("TargetExchange reports an early answer whose connection ends during an upload as cut")
{
    // Guards against the beginning of an answer that is taken for the whole one, also after a reset that a send
    // noticed.
    for (const std::string framing : { "", "Content-Length: 10\r\n", "Transfer-Encoding: chunked\r\n" }) {
        for (const bool isReset : { true, false }) {
            CAPTURE(framing);
            CAPTURE(isReset);
            std::string beginning = "HTTP/1.1 200 OK\r\n" + framing;
            beginning += framing.starts_with('T') ? "\r\n5\r\nabcde\r\n" : "\r\nabcde";
            const ScriptedTarget target([&](Poco::Net::StreamSocket &socket) {
                ScriptedTarget::readHead(socket);
                ScriptedTarget::write(socket, beginning);
                if (isReset) {
                    socket.setLinger(true, 0);
                } else {
                    socket.shutdownSend();
                    // Until the upload and the connection end.
                    std::string buffer(65'536, '\0');
                    while (socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size())) > 0) {
                    }
                }
            });
            Fixture fixture(target.address());
            const std::string upload(longUpload, 'x');
            RequestHead request = fixture.head("/");
            request.method = "POST";
            request.bodyBytes = upload.size();
            const AttemptReport report = fixture.run(request, upload);
            REQUIRE(report.exchange.refusal);
            CHECK(nameOf(report.exchange.refusal->verdict) == nameOf(Verdict::MayHaveRun));
            CHECK_FALSE(fixture.sink->isFinished);
            CHECK(fixture.pool.openCount() == 0);
        }
    }
}

TEST_CASE("TargetExchange reports not run only if the target received nothing or refused")
{
    // Guards against "not run" after a byte was sent, and "may have run" for plain refusals.
    SUBCASE("refused connection")
    {
        Poco::Net::ServerSocket unused(Poco::Net::SocketAddress("127.0.0.1", 0));
        const Poco::Net::SocketAddress address = unused.address();
        unused.close();
        Fixture fixture(address);
        const AttemptReport report = fixture.run(fixture.head("/"));
        checkRefusal(report, RefusalReason::TargetFailed, Verdict::NotRun);
        CHECK(report.end == AttemptEnd::ConnectFailed);
    }
    SUBCASE("connection closed after the request")
    {
        const ScriptedTarget target([](Poco::Net::StreamSocket &socket) {
            ScriptedTarget::readHead(socket);
        });
        Fixture fixture(target.address());
        const AttemptReport report = fixture.run(fixture.head("/"));
        checkRefusal(report, RefusalReason::TargetFailed, Verdict::MayHaveRun);
        CHECK(report.end == AttemptEnd::ConnectionLost);
    }
    SUBCASE("silence")
    {
        const ScriptedTarget target([](Poco::Net::StreamSocket &socket) {
            ScriptedTarget::readHead(socket);
            ScriptedTarget::readHead(socket);
        });
        Fixture fixture(target.address());
        const AttemptReport report = fixture.run(fixture.head("/", Milliseconds(50)));
        checkRefusal(report, RefusalReason::DeadlinePassed, Verdict::MayHaveRun);
        CHECK(report.end == AttemptEnd::Silent);
        CHECK(fixture.pool.openCount() == 0);
    }
    SUBCASE("shed, and the connection is closed")
    {
        const StandInRunner standIn(StandInRunner::settings(1, 1, Milliseconds(0)));
        standIn.control("set?target=t0&shedAll=1");
        Fixture fixture { Poco::Net::SocketAddress(standIn.addressOf("t0")) };
        const AttemptReport report = fixture.run(fixture.head("/"));
        checkRefusal(report, RefusalReason::NoCapacity, Verdict::NotRun);
        CHECK(report.end == AttemptEnd::Shed);
        CHECK(fixture.pool.openCount() == 0);
    }
    SUBCASE("deadline that has passed")
    {
        Fixture fixture(Poco::Net::SocketAddress("127.0.0.1", 1));
        checkRefusal(fixture.run(fixture.head("/", Milliseconds(0))), RefusalReason::DeadlinePassed, Verdict::NotRun);
    }
    SUBCASE("request that would smuggle a second one")
    {
        Fixture fixture(Poco::Net::SocketAddress("127.0.0.1", 1));
        RequestHead request = fixture.head("/");
        request.headers = { { "X", "1\r\n\r\nGET /other HTTP/1.1" } };
        checkRefusal(fixture.run(request), RefusalReason::BadRequest, Verdict::NotRun);
        checkRefusal(fixture.run(fixture.head("/a HTTP/1.1")), RefusalReason::BadRequest, Verdict::NotRun);
    }
}

TEST_CASE("TargetExchange ends an answer that never ends at the request's deadline")
{
    // Guards against a caller that waits without end for a target that stops in its answer or goes on with it for ever.
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n";
    const std::vector<std::pair<std::string, std::string>> answers {
        { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabcde", "" },
        { "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nabcde", "x" },
        { chunked, "" },
        { chunked, "1\r\nx\r\n" },
        { chunked + "0\r\n", "" },
        { "HTTP/1.1 200 OK\r\nName: ", "x" },
        { "", "HTTP/1.1 102 Processing\r\n\r\n" },
    };
    for (const auto &answer : answers) {
        const std::string &begin = answer.first;
        const std::string &repeated = answer.second;
        CAPTURE(begin);
        CAPTURE(repeated);
        const ScriptedTarget target([&](Poco::Net::StreamSocket &socket) {
            ScriptedTarget::readHead(socket);
            ScriptedTarget::write(socket, begin);
            while (!socket.poll(Poco::Timespan(0, 20'000), Poco::Net::Socket::SELECT_READ)) {
                ScriptedTarget::write(socket, repeated);
            }
        });
        Fixture fixture(target.address());
        const RequestHead request = fixture.head("/", Milliseconds(200));
        checkRefusal(fixture.run(request), RefusalReason::DeadlinePassed, Verdict::MayHaveRun);
        CHECK(fixture.clock.now() < request.deadline.at() + Milliseconds(500));
        CHECK_FALSE(fixture.sink->isFinished);
        CHECK(fixture.pool.openCount() == 0);
    }
}

TEST_CASE("TargetExchange never gives a late answer to the next caller")
{
    // Guards against the reuse of a connection on which the answer to an earlier request may still arrive.
    const StandInRunner standIn(StandInRunner::settings(1, 4, Milliseconds(0)));
    Fixture fixture { Poco::Net::SocketAddress(standIn.addressOf("t0")) };
    standIn.control("set?target=t0&answerDelayMs=60");
    checkRefusal(fixture.run(fixture.head("/first", Milliseconds(30))), RefusalReason::DeadlinePassed,
                 Verdict::MayHaveRun);
    standIn.control("set?target=t0&answerDelayMs=0");
    std::this_thread::sleep_for(Milliseconds(60));
    for (const char *path : { "/second", "/third" }) {
        const AttemptReport report = fixture.run(fixture.head(path));
        CHECK_FALSE(report.exchange.refusal);
        CHECK(fixture.sink->body.find(path) != std::string::npos);
    }
}

TEST_CASE("TargetExchange takes no repeated refusal for the answer to the next request")
{
    // Guards against "not run" for a booking that a target runs, since the target wrote an earlier refusal once more
    // on the kept connection.
    const std::string refusal = "HTTP/1.1 503 Full\r\nSapphire-Shed: 1\r\nContent-Length: 0\r\n\r\n";
    std::atomic<bool> hasRefused { false };
    const ScriptedTarget target([&](Poco::Net::StreamSocket &socket) {
        const bool isFirst = !hasRefused.exchange(true);
        ScriptedTarget::readHead(socket);
        if (isFirst) {
            ScriptedTarget::write(socket, refusal);
            ScriptedTarget::readHead(socket);
            ScriptedTarget::write(socket, refusal);
        }
        ScriptedTarget::write(socket, answer("booked"));
    });
    Fixture fixture(target.address());
    checkRefusal(fixture.run(fixture.head("/")), RefusalReason::NoCapacity, Verdict::NotRun);
    RequestHead booking = fixture.head("/");
    booking.method = "POST";
    CHECK_FALSE(fixture.run(booking).exchange.refusal);
    CHECK(fixture.sink->body == "booked");
}

TEST_CASE("TargetExchange drops a connection on which more arrived than the answer")
{
    // Guards against surplus bytes after one answer that are read as the start of the next caller's answer. Bytes that
    // arrive after the next request was sent can't be distinguished from its answer, so the target here sends them with
    // the first answer or well before the next request.
    for (const bool isLater : { false, true }) {
        const ScriptedTarget target([isLater](Poco::Net::StreamSocket &socket) {
            ScriptedTarget::readHead(socket);
            ScriptedTarget::write(socket, answer("first") + (isLater ? "" : answer("surplus")));
            if (isLater) {
                std::this_thread::sleep_for(Milliseconds(10));
                ScriptedTarget::write(socket, answer("surplus"));
            }
            ScriptedTarget::readHead(socket);
        });
        Fixture fixture(target.address());
        for (int i = 0; i < 2; ++i) {
            CHECK_FALSE(fixture.run(fixture.head("/")).exchange.refusal);
            CHECK(fixture.sink->body == "first");
            std::this_thread::sleep_for(Milliseconds(isLater ? 60 : 0));
        }
        CHECK(target.accepted() == 2);
    }
}

TEST_CASE("TargetExchange replaces a connection that the target closed while it was idle")
{
    // Guards against requests that fail only because a pooled connection was stale.
    const ScriptedTarget target([](Poco::Net::StreamSocket &socket) {
        ScriptedTarget::readHead(socket);
        ScriptedTarget::write(socket, answer("ok"));
    });
    Fixture fixture(target.address());
    for (int i = 0; i < 3; ++i) {
        CHECK_FALSE(fixture.run(fixture.head("/")).exchange.refusal);
        std::this_thread::sleep_for(Milliseconds(5));
    }
    CHECK(target.accepted() == 3);
}

TEST_CASE("TargetExchange cancels the request at the target when the caller disconnects")
{
    // Guards against slots that stay occupied by requests of callers that have disconnected.
    const StandInRunner standIn(StandInRunner::settings(1, 1, Milliseconds(0)));
    Fixture fixture { Poco::Net::SocketAddress(standIn.addressOf("t0")) };
    MemoryBody body;
    MemorySink sink;
    std::thread caller([&] {
        std::this_thread::sleep_for(Milliseconds(30));
        sink.cancelled = true;
    });
    const TimePoint start = fixture.clock.now();
    const AttemptReport report = fixture.exchange.run(fixture.head("/?sleep=5000", Milliseconds(10'000)), body, sink);
    caller.join();
    checkRefusal(report, RefusalReason::Cancelled, Verdict::MayHaveRun);
    CHECK(fixture.clock.now() - start < Milliseconds(300));
    std::this_thread::sleep_for(Milliseconds(20));
    CHECK(standIn.control("counters").find(R"("inFlight":0,"mostInFlight":1)") != std::string::npos);
    CHECK(standIn.control("ledger").find(R"("finished":false)") != std::string::npos);
}

TEST_CASE("TargetExchange streams bodies both ways")
{
    // Guards against whole bodies in memory and against pieces that are lost or duplicated.
    const StandInRunner standIn(StandInRunner::settings(1, 2, Milliseconds(0)));
    Fixture fixture { Poco::Net::SocketAddress(standIn.addressOf("t0")) };
    SUBCASE("a large answer arrives in pieces")
    {
        for (const char *path : { "/?bytes=20000000", "/?bytes=20000000&chunked=1" }) {
            MemoryBody body;
            MemorySink sink;
            sink.keepsBody = false;
            CHECK_FALSE(fixture.exchange.run(fixture.head(path, Milliseconds(10'000)), body, sink).exchange.refusal);
            CHECK(sink.byteCount == 20'000'000);
            CHECK(sink.largestPiece <= 16384);
            CHECK(fixture.pool.idleCount() == 1);
        }
    }
    SUBCASE("request bodies of known and unknown length come back unchanged")
    {
        std::string text;
        for (int i = 0; text.size() < 100'000; ++i) {
            text += std::to_string(i) + ";";
        }
        for (const std::size_t length :
             { std::size_t { 1 }, std::size_t { 16384 }, std::size_t { 16385 }, text.size() }) {
            for (const bool isLengthKnown : { true, false }) {
                RequestHead request = fixture.head("/?echo=1");
                request.method = "POST";
                request.bodyBytes = isLengthKnown ? std::optional<std::uint64_t>(length) : std::nullopt;
                CHECK_FALSE(fixture.run(request, text.substr(0, length)).exchange.refusal);
                CHECK(fixture.sink->body == text.substr(0, length));
            }
        }
    }
    SUBCASE("a slow small body occupies no slot before it is complete")
    {
        RequestHead request = fixture.head("/");
        request.method = "POST";
        request.bodyBytes = 3;
        MemoryBody body("abc");
        body.slowDown(1, Milliseconds(20));
        MemorySink sink;
        const AttemptReport report = fixture.exchange.run(request, body, sink);
        CHECK_FALSE(report.exchange.refusal);
        CHECK(report.latency < Milliseconds(20));
    }
    SUBCASE("a body that fails before anything was sent is not run, afterwards it may have run")
    {
        for (const std::size_t position : { std::size_t { 5 }, std::size_t { 40'000 } }) {
            RequestHead request = fixture.head("/");
            request.method = "POST";
            request.bodyBytes = 50'000;
            MemoryBody body(std::string(50'000, 'x'));
            body.failAt(position, { ErrorCode::Cancelled, "gone", Verdict::NotRun });
            MemorySink sink;
            checkRefusal(fixture.exchange.run(request, body, sink), RefusalReason::Cancelled,
                         position == 5 ? Verdict::NotRun : Verdict::MayHaveRun);
            CHECK(fixture.pool.openCount() == 0);
        }
    }
    SUBCASE("a target that sheds early ends the upload")
    {
        standIn.control("set?target=t0&shedAll=1");
        RequestHead request = fixture.head("/");
        request.method = "POST";
        request.bodyBytes = 8'000'000;
        MemoryBody body(std::string(8'000'000, 'x'));
        MemorySink sink;
        checkRefusal(fixture.exchange.run(request, body, sink), RefusalReason::NoCapacity, Verdict::NotRun);
        CHECK(body.readBytes() < 8'000'000);
        CHECK(fixture.pool.openCount() == 0);
    }
}

TEST_CASE("ConnectionPool keeps to its limit and opens new connections after silence")
{
    // Guards against a pool that hands out silent connections one by one until each has cost a deadline.
    const StandInRunner standIn(StandInRunner::settings(1, 8, Milliseconds(0)));
    Fixture fixture { Poco::Net::SocketAddress(standIn.addressOf("t0")) };
    std::vector<std::thread> callers;
    callers.reserve(6);
    std::atomic<int> refused { 0 };
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([&] {
            MemoryBody body;
            MemorySink sink;
            const AttemptReport report = fixture.exchange.run(fixture.head("/?sleep=100"), body, sink);
            if (report.end == AttemptEnd::OwnLimit) {
                ++refused;
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    CHECK(refused == 2);
    CHECK(fixture.pool.idleCount() == 4);
    standIn.control("set?target=t0&silence=1");
    const AttemptReport silent = fixture.run(fixture.head("/", Milliseconds(50)));
    CHECK(silent.end == AttemptEnd::Silent);
    CHECK(silent.wasReused);
    fixture.pool.closeIdleBefore(silent.sentAt);
    CHECK(fixture.pool.openCount() == 0);
    CHECK_FALSE(fixture.run(fixture.head("/")).exchange.refusal);
}
