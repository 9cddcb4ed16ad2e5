#include <LibGateway/GatewayFixture.h>

using namespace Sapphire;

namespace {

// A route's timeout for tests of what an answer holds, not of when it comes. A machine that stands still for longer
// than the timeout turns each answer into a refusal. Less than the time for which the caller waits.
constexpr Milliseconds ampleTimeout { 4'000 };

} // namespace

TEST_CASE("A request reaches its target unchanged except for connection headers and the gateway's own headers")
{
    // Guards against changed requests, keys that reach targets, and callers that pass as another customer.
    std::string seen;
    ScriptedTarget target(answering([&](const std::string &head) {
        seen = head;
        return soundAnswer("body");
    }));
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    const CallerAnswer answer =
        fixture.call("GET", "/keyed/a?b=/c%20d",
                     "Authorization: Bearer secret\r\nCustomer: other\r\nX-Own: 1\r\nX-Hop: 2\r\nConnection: X-Hop\r\n"
                     "Deadline-Ms: 700\r\n");
    CHECK(answer.status == 200);
    CHECK(answer.body == "body");
    CHECK(answer.has("Seal: s\r\n"));
    CHECK(seen.starts_with("GET /keyed/a?b=/c%20d HTTP/1.1\r\n"));
    CHECK(seen.find("Customer: grifo\r\n") != std::string::npos);
    CHECK(seen.find("Customer: other") == std::string::npos);
    CHECK(seen.find("secret") == std::string::npos);
    CHECK(seen.find("X-Own: 1\r\n") != std::string::npos);
    CHECK(seen.find("X-Hop") == std::string::npos);
    CHECK(seen.find("Expected-Target: t1\r\n") != std::string::npos);
    const int deadline = std::stoi(seen.substr(seen.find("Deadline-Ms: ") + 13));
    CHECK(deadline > 500);
    CHECK(deadline <= 700);
}

TEST_CASE("Requests that the rules don't allow are refused with the matching status")
{
    // Guards against requests that run without a route or a key.
    GatewayFixture fixture;
    CHECK(fixture.call("GET", "/read/a").status == 503);
    fixture.applyRules();
    CHECK(fixture.call("GET", "/nothing/a").status == 404);
    CHECK(fixture.call("GET", "/keyed/a").status == 401);
    CHECK(fixture.call("GET", "/keyed/a", "Authorization: Bearer wrong\r\n").status == 401);
    CHECK(fixture.call("GET", "/read/a").status == 503);
}

TEST_CASE("A truncated answer to a read is replaced by another target's")
{
    // Guards against a truncated answer that looks complete to the caller.
    std::atomic<int> cuts { 0 };
    const auto script = answering([&](const std::string &) -> std::string {
        return cuts++ == 0 ? "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 100\r\n\r\npart" : soundAnswer("whole");
    });
    // This script closes the connection after the truncated answer.
    const auto cutting = [&](Poco::Net::StreamSocket &socket) {
        const std::string head = ScriptedTarget::readHead(socket);
        if (head.starts_with("GET /health ")) {
            ScriptedTarget::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            return;
        }
        ScriptedTarget::write(socket,
                              cuts++ == 0 ? "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 100\r\n\r\npart"
                                          : soundAnswer("whole"));
    };
    ScriptedTarget first(cutting);
    ScriptedTarget second(cutting);
    GatewayFixture fixture;
    fixture.applyRules(ampleTimeout);
    fixture.applyTargets({ fixture.targetEntry("t1", first.address()), fixture.targetEntry("t2", second.address()) });
    const CallerAnswer answer = fixture.call("GET", "/read/a");
    CHECK(answer.status == 200);
    CHECK(answer.body == "whole");
}

TEST_CASE("A booking without an answer is refused as may have run, and sent to no other target")
{
    // Guards against a booking that runs twice, and against one that is reported as not run although it ran.
    std::atomic<int> requests { 0 };
    const auto cutting = [&](Poco::Net::StreamSocket &socket) {
        const std::string head = ScriptedTarget::readHead(socket);
        if (head.starts_with("GET /health ")) {
            ScriptedTarget::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            return;
        }
        ++requests;
    };
    ScriptedTarget first(cutting);
    ScriptedTarget second(cutting);
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets({ fixture.targetEntry("t1", first.address()), fixture.targetEntry("t2", second.address()) });
    CHECK(fixture.call("POST", "/book/a", "", "order").status == 502);
    CHECK(requests == 1);
}

TEST_CASE("A booking that a target sheds goes to another one, and is refused as not run if that sheds it, too")
{
    // Guards against refusing a request that another target can run, and against a refusal with the verdict
    // may-have-run although no target ran the request.
    std::atomic<int> sheds { 0 };
    std::atomic<int> limit { 1 };
    const auto script = answering([&](const std::string &) -> std::string {
        if (sheds < limit) {
            ++sheds;
            return "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n";
        }
        return soundAnswer("done");
    });
    ScriptedTarget first(script);
    ScriptedTarget second(script);
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets({ fixture.targetEntry("t1", first.address()), fixture.targetEntry("t2", second.address()) });
    CHECK(fixture.call("POST", "/book/a").body == "done");
    std::this_thread::sleep_for(Milliseconds(200));
    limit = sheds + 2;
    const CallerAnswer refusal = fixture.call("POST", "/book/a");
    CHECK(refusal.status == 503);
    CHECK(refusal.has("Retry-After: "));
    CHECK(refusal.has("Sapphire-Verdict: not-run\r\n"));
}

TEST_CASE("A read whose second attempt finds no target is refused without a double free")
{
    // Guards against an attempt that calls its request after the request has ended, which freed the request twice.
    ScriptedTarget target(answering([](const std::string &) {
        return "HTTP/1.1 500 Broken\r\nSeal: s\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n";
    }));
    GatewayFixture fixture;
    fixture.applyRules(Milliseconds(200));
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    for (int i = 0; i < 5; ++i) {
        const CallerAnswer answer = fixture.call("GET", "/read/a");
        CHECK(answer.status >= 500);
    }
}

TEST_CASE("An answer to an earlier request is dropped, and the right one is forwarded")
{
    // Guards against a caller that gets another request's answer.
    ScriptedTarget target(answering([](const std::string &) {
        return soundAnswer("foreign", "Request-Id: other\r\n") + soundAnswer("own");
    }));
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    CHECK(fixture.call("POST", "/book/a").body == "own");
    CHECK(target.accepted() == 1);
    CHECK(fixture.call("POST", "/book/b").body == "own");
    CHECK(target.accepted() == 2);
}

TEST_CASE("Bytes after a complete answer are dropped")
{
    // Guards against an extra answer that is taken for the answer to the next request on the connection.
    ScriptedTarget target(answering([](const std::string &) {
        return soundAnswer("own") + soundAnswer("extra");
    }));
    GatewayFixture fixture;
    fixture.applyRules(ampleTimeout);
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    for (int i = 0; i < 3; ++i) {
        CHECK(fixture.call("GET", "/read/a").body == "own");
    }
    CHECK(target.accepted() >= 3);
}

TEST_CASE("A successful answer without the target's seal, or with a content encoding, is not forwarded")
{
    // Guards against corrupted or foreign bytes that reach a caller as an answer.
    std::string answerText = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\nfake";
    ScriptedTarget target(answering([&](const std::string &) {
        return answerText;
    }));
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    CHECK(fixture.call("POST", "/book/a").status == 502);
    answerText = soundAnswer("packed", "Request-Id: r1\r\nContent-Encoding: gzip\r\n");
    CHECK(fixture.call("POST", "/book/a").status == 502);
    answerText = "no answer at all\r\n\r\n";
    CHECK(fixture.call("POST", "/book/a").status == 502);
}

TEST_CASE("An answer without the target's seal that callers would take for a refusal is not forwarded")
{
    // Guards against a stranger's or faulty target's answer that says for this system that a request is wrong or not
    // run.
    for (const std::string start : { "301 Moved", "304 Not Modified", "400 Bad Request", "401 Unauthorized",
                                     "404 Not Found", "408 Timeout", "413 Too Large", "429 Too Many", "503 Busy" }) {
        CAPTURE(start);
        ScriptedTarget target(answering([&](const std::string &) {
            return "HTTP/1.1 " + start + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        }));
        GatewayFixture fixture;
        fixture.applyRules();
        fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
        CHECK(fixture.call("GET", "/read/a").status == 502);
        const CallerAnswer booking = fixture.call("POST", "/book/a", "", "order");
        CHECK(booking.status == 502);
        CHECK(booking.has("Sapphire-Verdict: may-have-run\r\n"));
    }
}

TEST_CASE("A server error without the target's seal is forwarded, since it promises nothing")
{
    // Guards against a target that is taken out for its own plain errors.
    ScriptedTarget target(answering([](const std::string &) {
        return "HTTP/1.1 500 Broken\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n";
    }));
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    CHECK(fixture.call("POST", "/book/a", "", "order").status == 500);
}

TEST_CASE("An error of the caller's that a target has sealed is forwarded unchanged")
{
    // Guards against a target's own judgement of a request that callers don't get to see.
    ScriptedTarget target(answering([](const std::string &) {
        return "HTTP/1.1 409 Conflict\r\nSeal: s\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\nfull";
    }));
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    const CallerAnswer answer = fixture.call("POST", "/book/a", "", "order");
    CHECK(answer.status == 409);
    CHECK(answer.has("Seal: s\r\n"));
    CHECK(answer.body == "full");
}

TEST_CASE("An answer without a length ends with its connection and reaches the caller completely")
{
    // Guards against an answer that is never finished, or finished although it was truncated.
    ScriptedTarget target([](Poco::Net::StreamSocket &socket) {
        ScriptedTarget::readHead(socket);
        ScriptedTarget::write(socket, "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: r1\r\n\r\nuntil the end");
    });
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    const CallerAnswer answer = fixture.call("POST", "/book/a");
    CHECK(answer.status == 200);
    CHECK(answer.body == "until the end");
    CHECK(answer.has("Content-Length: 13\r\n"));
}

TEST_CASE("An answer without a length whose connection is reset is not forwarded as complete")
{
    // Guards against an answer that broke off and reaches the caller as a complete success.
    ScriptedTarget target([](Poco::Net::StreamSocket &socket) {
        ScriptedTarget::readHead(socket);
        ScriptedTarget::write(socket, "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: r1\r\n\r\nnot until");
        std::this_thread::sleep_for(Milliseconds(50));
        socket.setLinger(true, 0);
        socket.close();
    });
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    const CallerAnswer answer = fixture.call("POST", "/book/a");
    const bool isCompleteSuccess = answer.status == 200 && !answer.isCut;
    CHECK(!isCompleteSuccess);
}

TEST_CASE("An answer that ends within its head never reaches the caller as a success")
{
    // Guards against a 200 with an empty or short body for an answer of which not even the head has arrived.
    for (const std::string framing : { "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "" }) {
        const std::string head = "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: r1\r\n" + framing + "\r\n";
        for (std::size_t cut = 1; cut < head.size(); ++cut) {
            ScriptedTarget target([&](Poco::Net::StreamSocket &socket) {
                ScriptedTarget::readHead(socket);
                ScriptedTarget::write(socket, head.substr(0, cut));
            });
            GatewayFixture fixture;
            fixture.applyRules(ampleTimeout);
            fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
            CAPTURE(framing);
            CAPTURE(cut);
            CHECK(fixture.call("POST", "/book/a").status == 502);
        }
    }
}

TEST_CASE("A large answer is streamed, and one that is truncated is aborted")
{
    // Guards against answers that fill the memory, and against a truncated answer that ends like a complete one.
    const std::string large(1'000'000, 'x');
    std::atomic<bool> isCut { false };
    ScriptedTarget target([&](Poco::Net::StreamSocket &socket) {
        if (ScriptedTarget::readHead(socket).starts_with("GET /health ")) {
            ScriptedTarget::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            return;
        }
        const std::string answer = soundAnswer(large);
        std::size_t end = isCut ? answer.size() - 1'000 : answer.size();
        for (std::size_t begin = 0; begin < end; begin += 10'000) {
            ScriptedTarget::write(socket, answer.substr(begin, std::min<std::size_t>(10'000, end - begin)));
        }
    });
    GatewayFixture fixture;
    fixture.applyRules(Milliseconds(3'000));
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    CHECK(fixture.call("POST", "/book/a").body == large);
    isCut = true;
    // The target closes its connections, which the gateway notices a moment later.
    std::this_thread::sleep_for(Milliseconds(50));
    const CallerAnswer cut = fixture.call("POST", "/book/a");
    CHECK(cut.isCut);
    CHECK(cut.body.size() < large.size());
}

TEST_CASE("An answer that arrives before the whole body was sent is forwarded, and its connection is not reused")
{
    // Guards against a request that the target takes for the rest of the previous request's body.
    std::atomic<int> heads { 0 };
    ScriptedTarget target([&](Poco::Net::StreamSocket &socket) {
        while (!ScriptedTarget::readHead(socket).empty()) {
            ++heads;
            ScriptedTarget::write(socket,
                                  "HTTP/1.1 413 Too large\r\nSeal: s\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nno");
        }
    });
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    Poco::Net::StreamSocket socket = fixture.connect();
    fixture.send(socket,
                 "POST /book/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nContent-Length: 200000\r\n\r\n"
                     + std::string(100'000, 'b'));
    const CallerAnswer answer = fixture.receive(socket);
    CHECK(answer.status == 413);
    CHECK(answer.body == "no");
    CHECK(answer.has("Connection: close\r\n"));
    CHECK(fixture.call("POST", "/book/b").status == 413);
    CHECK(heads == 2);
    CHECK(target.accepted() == 2);
}

TEST_CASE("A request to a target whose address now belongs to another target is sent to the right one")
{
    // Guards against requests that run at another service that has got the address.
    std::atomic<int> misdirectedRequests { 0 };
    ScriptedTarget misdirectedTarget(answering([&](const std::string &) {
        ++misdirectedRequests;
        return "HTTP/1.1 421 Misdirected\r\nTarget-Id: t9\r\nContent-Length: 0\r\n\r\n";
    }));
    ScriptedTarget right(answering([](const std::string &) {
        return soundAnswer("right");
    }));
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets(
        { fixture.targetEntry("t1", misdirectedTarget.address()), fixture.targetEntry("t2", right.address()) });
    for (int i = 0; i < 10; ++i) {
        CHECK(fixture.call("POST", "/book/a", "Cookie: object=" + std::to_string(i) + "\r\n").body == "right");
    }
    CHECK(misdirectedRequests <= 2);
}

TEST_CASE("An order with a long body whose caller has left reaches no target")
{
    // Guards against orders that nobody asks for any more, and that run because the rest of their body wasn't read.
    std::atomic<int> requests { 0 };
    ScriptedTarget target(answering([&](const std::string &) {
        ++requests;
        return soundAnswer("booked");
    }));
    GatewayFixture fixture;
    fixture.applyRules(Milliseconds(4'000));
    {
        Poco::Net::StreamSocket socket = fixture.connect();
        const std::string body(100'000, 'b');
        GatewayFixture::send(socket,
                             "POST /book/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nContent-Length: "
                                 + std::to_string(body.size()) + "\r\n\r\n" + body);
        std::this_thread::sleep_for(Milliseconds(100));
    }
    std::this_thread::sleep_for(Milliseconds(100));
    fixture.applyTargets({ GatewayFixture::targetEntry("t1", target.address()) });
    std::this_thread::sleep_for(Milliseconds(200));
    CHECK(requests == 0);
}
