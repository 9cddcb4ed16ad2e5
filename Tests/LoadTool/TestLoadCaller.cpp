#include <LibTarget/ScriptedTarget.h>
#include <SapphireLoad/LoadCaller.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr std::uint64_t seed = 7;

/// Calls a VM that answers each request with the given bytes and closes the connection.
LoadAnswer callVm(const std::string &bytes, const std::string &method = "GET")
{
    const ScriptedTarget vm([&bytes](Poco::Net::StreamSocket &socket) {
        if (!ScriptedTarget::readHead(socket).empty()) {
            ScriptedTarget::write(socket, bytes);
        }
    });
    LoadPlan plan;
    plan.usesLookUps = false;
    const LoadRoute route { "status", method };
    const LoadOrigin origin { "cuyo", { vm.address().toString() } };
    plan.origins = { origin };
    LookUpCache cache;
    LoadCaller caller(plan, cache, seed);
    return caller.call({ "bar", "key" }, route, origin, "id");
}

} // namespace

TEST_CASE("A cut answer isn't counted as answered")
{
    // Guards against load runs that prove whole answers with a client that takes a truncated body for a whole one.
    for (const std::string bytes : { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabcde",
                                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
                                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nabcde" }) {
        for (const char *method : { "GET", "POST" }) {
            CAPTURE(bytes);
            const LoadAnswer answer = callVm(bytes, method);
            CHECK(answer.status == 0);
            CHECK(answer.reason == "cut");
        }
    }
}

TEST_CASE("A whole answer is counted as answered, and a missing one by its reason")
{
    // Guards against sound answers that are taken for cut, and against a refusal that loses its reason.
    const LoadAnswer sized =
        callVm("HTTP/1.1 200 OK\r\nSapphire-Served-By: cuyo/a/b\r\nContent-Length: 5\r\n\r\nabcde");
    CHECK(sized.status == 200);
    CHECK(sized.body == "abcde");
    CHECK(sized.region == "cuyo");
    const LoadAnswer chunked = callVm("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n");
    CHECK(chunked.status == 200);
    CHECK(chunked.body == "abcde");
    const LoadAnswer refused = callVm(
        "HTTP/1.1 503 Full\r\nSapphire-Reason: no-capacity\r\nSapphire-Verdict: not-run\r\nContent-Length: 0\r\n\r\n");
    CHECK(refused.status == 503);
    CHECK(refused.reason == "no-capacity");
    CHECK(refused.verdict == "not-run");
    CHECK(callVm("").reason == "connection");
}
