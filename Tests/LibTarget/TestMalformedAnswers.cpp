#include <Fakes/AnswerRows.h>
#include <LibCore/BootClock.h>
#include <LibTarget/AnswerReader.h>
#include <LibTarget/ScriptedTarget.h>
#include <LibTarget/TargetProbe.h>

#include <doctest/doctest.h>

#include <array>

#include <poll.h>

using namespace Sapphire;

namespace {

constexpr Milliseconds readTime { 3'000 };

/// Returns a script that answers each request with the same bytes.
ScriptedTarget::Script answeringWith(const std::string &bytes)
{
    return [bytes](Poco::Net::StreamSocket &socket) {
        while (!ScriptedTarget::readHead(socket).empty()) {
            ScriptedTarget::write(socket, bytes);
        }
    };
}

struct ReadAnswer
{
    int status { 0 };
    std::string body;
};

Result<ReadAnswer> readAnswer(const Poco::Net::SocketAddress &address, const Clock &clock)
{
    const WaitLimit limit { Deadline::after(clock.now(), readTime), nullptr };
    BOOST_LEAF_AUTO(connection, TargetConnection::create(address, clock, limit));
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    BOOST_LEAF_CHECK(connection->send(request, limit));
    AnswerReader reader(*connection, false);
    BOOST_LEAF_CHECK(reader.readHead(limit));
    ReadAnswer answer { reader.head().status, {} };
    std::array<char, 64> buffer {};
    while (true) {
        BOOST_LEAF_AUTO(count, reader.readBody(buffer, limit));
        if (count == 0) {
            return answer;
        }
        answer.body.append(buffer.data(), count);
    }
}

TargetHealth probedHealth(const Poco::Net::SocketAddress &address, const Clock &clock)
{
    TargetProbe probe(TargetId("t0"), VmId("vm-1"), address);
    const Deadline end = Deadline::after(clock.now(), readTime);
    probe.begin(clock.now());
    while (!probe.isDone() && !end.hasPassed(clock.now())) {
        pollfd entry {};
        probe.preparePoll(entry);
        ::poll(&entry, 1, 20);
        probe.handleEvents(entry.revents, clock.now());
    }
    REQUIRE(probe.isDone());
    return probe.report().health;
}

} // namespace

TEST_CASE("AnswerReader takes what is an answer and nothing else")
{
    // Guards against malformed answers that a caller of sapphired gets, and against waiting for the end of one.
    const BootClock clock;
    for (const AnswerRow &row : answerRows()) {
        CAPTURE(row.name);
        ScriptedTarget target(answeringWith(row.withFields()));
        const Outcome<ReadAnswer> answer = capture([&] {
            return readAnswer(target.address(), clock);
        });
        if (!row.isValid) {
            REQUIRE(!answer);
            CHECK(nameOf(answer.error().code) == nameOf(ErrorCode::DataLoss));
            continue;
        }
        REQUIRE(answer);
        CHECK(answer.value().status == row.status);
        CHECK(answer.value().body == row.body);
    }
}

TEST_CASE("A target whose health answer is malformed isn't healthy")
{
    // Guards against a health check with rules of its own for what an answer is.
    const BootClock clock;
    for (AnswerRow row : answerRows()) {
        CAPTURE(row.name);
        const std::string healthy = R"({"status":"ok"})";
        // The rows' body of two bytes becomes a health report where the framing is a plain length.
        const std::string plain = "Content-Length: 2\r\n\r\nok";
        const std::size_t position = row.text.find(plain);
        if (position == std::string::npos) {
            continue;
        }
        row.text.replace(position, plain.size(), "Content-Length: 15\r\n\r\n" + healthy);
        ScriptedTarget target(answeringWith(row.withFields()));
        CHECK((probedHealth(target.address(), clock) == TargetHealth::Ok) == row.isValid);
    }
}
