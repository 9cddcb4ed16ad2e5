#include <Fakes/AnswerRows.h>
#include <LibGateway/GatewayFixture.h>

#include <atomic>

using namespace Sapphire;

namespace {

constexpr Milliseconds routeTimeout { 8'000 };
// Far below the route's timeout, and enough for an attempt that is repeated beside load.
constexpr Milliseconds longestRefusal { 4'000 };

} // namespace

TEST_CASE("A caller gets an answer of its target, or a failure as soon as the target's bytes are none")
{
    // Guards against malformed answers that are passed on, and against requests that wait for their timeout after one.
    for (const AnswerRow &row : answerRows()) {
        CAPTURE(row.name);
        GatewayFixture fixture;
        std::atomic<int> mostOnConnection { 0 };
        ScriptedTarget target([&](Poco::Net::StreamSocket &socket) {
            int requests = 0;
            for (std::string head = ScriptedTarget::readHead(socket); !head.empty();
                 head = ScriptedTarget::readHead(socket)) {
                if (head.starts_with("GET /health ")) {
                    ScriptedTarget::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                    return;
                }
                // Before the answer, after which the test may look.
                mostOnConnection = std::max(mostOnConnection.load(), ++requests);
                ScriptedTarget::write(socket, row.withFields("Seal: s\r\nRequest-Id: r1\r\n"));
            }
        });
        fixture.applyRules(routeTimeout);
        fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
        const auto begin = std::chrono::steady_clock::now();
        const CallerAnswer answer = fixture.call("POST", "/book/a");
        CHECK(std::chrono::steady_clock::now() - begin < longestRefusal);
        CHECK(mostOnConnection == 1);
        if (row.isValid) {
            CHECK(answer.status == row.status);
            CHECK(answer.body.find(row.body.substr(0, 1)) != std::string::npos);
        } else {
            // Chunks are passed on as they arrive, and an answer that turns out to be malformed later is cut.
            CHECK((answer.status >= 500 || answer.isCut));
            CHECK((!answer.has("Seal: s") || answer.isCut));
        }
    }
}

TEST_CASE("A request that may be repeated is answered by another target after a malformed answer")
{
    // Guards against a malformed answer that isn't seen as a failure of its target, so that nothing is tried again.
    for (const char *start : { "HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nBad Name: v\r\n", "HTTP/1.1 101 Other\r\n",
                               "HTTP/1.1 200 OK\r\nName: a\r\n b\r\n" }) {
        CAPTURE(start);
        GatewayFixture fixture;
        std::atomic<int> runs { 0 };
        const ScriptedTarget::Script script = answering([&](const std::string &) {
            const std::string malformed =
                start + std::string("Seal: s\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nno");
            return runs++ == 0 ? malformed : soundAnswer("yes");
        });
        ScriptedTarget first(script);
        ScriptedTarget second(script);
        fixture.applyRules(routeTimeout);
        fixture.applyTargets(
            { fixture.targetEntry("t1", first.address()), fixture.targetEntry("t2", second.address()) });
        const CallerAnswer answer = fixture.call("GET", "/read/a");
        CHECK(answer.status == 200);
        CHECK(answer.body == "yes");
        CHECK(runs == 2);
    }
}
