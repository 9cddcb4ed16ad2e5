#include <LibGateway/GatewayFixture.h>

using namespace Sapphire;

TEST_CASE("A request reaches its target unchanged but for the headers that concern one connection")
{
    // Guards against changed requests, keys that targets see, and callers that name themselves another customer.
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

TEST_CASE("Requests that the rules don't allow are refused with what says so")
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

TEST_CASE("A cut answer to a read is replaced by another target's")
{
    // Guards against a part of an answer that looks like all of it.
    std::atomic<int> cuts { 0 };
    const auto script = answering([&](const std::string &) -> std::string {
        return cuts++ == 0 ? "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 100\r\n\r\npart" : soundAnswer("whole");
    });
    // The script that cuts ends its connection.
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
    fixture.applyRules();
    fixture.applyTargets({ fixture.targetEntry("t1", first.address()), fixture.targetEntry("t2", second.address()) });
    const CallerAnswer answer = fixture.call("GET", "/read/a");
    CHECK(answer.status == 200);
    CHECK(answer.body == "whole");
}

TEST_CASE("A cut answer to a booking is told as may have run, and sent to no other target")
{
    // Guards against a booking that runs twice, and against one that is called not run although it ran.
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

TEST_CASE("A booking that a target turned away goes to another one, and is not run if that turns it away, too")
{
    // Guards against refusing what another target can run, and against a refusal that promises too little.
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

TEST_CASE("A read whose second attempt finds no target is refused without harm")
{
    // Guards against a request that its attempt calls after it has ended: that freed it twice.
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

TEST_CASE("An answer that belongs to an earlier request is dropped, and the own one passed on")
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

TEST_CASE("Bytes after a whole answer belong to no request")
{
    // Guards against an extra answer that is given to the next request on the connection.
    ScriptedTarget target(answering([](const std::string &) {
        return soundAnswer("own") + soundAnswer("extra");
    }));
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    for (int i = 0; i < 3; ++i) {
        CHECK(fixture.call("GET", "/read/a").body == "own");
    }
    CHECK(target.accepted() >= 3);
}

TEST_CASE("A success that the target does not vouch for is no success")
{
    // Guards against wrong bytes that reach a caller as an answer.
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

TEST_CASE("An answer without a length ends with its connection and reaches the caller whole")
{
    // Guards against an answer that is never finished, or finished although it was cut.
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

TEST_CASE("A large answer passes through piece by piece, and one that is cut midway looks cut")
{
    // Guards against answers that fill the memory, and against a cut answer that ends like a whole one.
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
    // The target ends its connections, which is noticed a moment later.
    std::this_thread::sleep_for(Milliseconds(50));
    const CallerAnswer cut = fixture.call("POST", "/book/a");
    CHECK(cut.isCut);
    CHECK(cut.body.size() < large.size());
}

TEST_CASE("An answer that comes before the whole body is passed on, and its connection not used again")
{
    // Guards against other bytes where the rest of a body is due.
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

TEST_CASE("A request that another target would get at the same address is sent to the right one")
{
    // Guards against requests that run at a service to which the address was given.
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
