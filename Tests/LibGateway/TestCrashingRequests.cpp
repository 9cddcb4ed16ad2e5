#include <LibGateway/GatewayFixture.h>

using namespace Sapphire;

namespace {

constexpr int targetCount = 8;
constexpr int resends = 12;
// A third crash is the last one that may pass for a coincidence.
constexpr int mostCrashes = 3;

/// A target that answers requests on kept connections, until a request for "poison" crashes it.
class CrashingTarget
{
public:
    /// The restarted target says in health checks that it is the given one.
    explicit CrashingTarget(std::string idAfterRestart)
        : m_idAfterRestart(std::move(idAfterRestart)), m_target([this](Poco::Net::StreamSocket &socket) {
            serve(socket);
        })
    {
    }

    const Poco::Net::SocketAddress &address() const
    {
        return m_target.address();
    }
    int crashes() const
    {
        return m_crashes;
    }
    int answered() const
    {
        return m_answered;
    }

private:
    void serve(Poco::Net::StreamSocket &socket)
    {
        for (std::string head = ScriptedTarget::readHead(socket); !head.empty();
             head = ScriptedTarget::readHead(socket)) {
            if (head.starts_with("GET /health ")) {
                ScriptedTarget::write(socket, healthAnswer());
                return;
            }
            if (head.find("poison") != std::string::npos) {
                ++m_crashes;
                return;
            }
            ++m_answered;
            ScriptedTarget::write(socket, soundAnswer("read"));
        }
    }

    std::string healthAnswer() const
    {
        const std::string restarted =
            m_crashes > 0 ? "Cold-Ms: 3000\r\nTarget-Id: " + m_idAfterRestart + "\r\n" : std::string();
        return "HTTP/1.1 200 OK\r\n" + restarted + "Connection: close\r\nContent-Length: 0\r\n\r\n";
    }

    std::string m_idAfterRestart;
    std::atomic<int> m_crashes { 0 };
    std::atomic<int> m_answered { 0 };
    ScriptedTarget m_target;
};

/// A gateway with targets that a request crashes. They restart with the id that they had, or with the given suffix.
struct CrashingService
{
    explicit CrashingService(const std::string &suffixAfterRestart = {})
    {
        std::vector<TargetListEntry> entries;
        for (int i = 0; i < targetCount; ++i) {
            const std::string id = "t" + std::to_string(i);
            targets.push_back(std::make_unique<CrashingTarget>(id + suffixAfterRestart));
            entries.push_back(GatewayFixture::targetEntry(id, targets.back()->address()));
        }
        fixture.applyRules();
        fixture.applyTargets(entries);
    }

    /// Has each target answer requests, so that the gateway keeps a connection to it.
    void useAllTargets()
    {
        for (int object = 0; object < 64; ++object) {
            const std::string name = std::to_string(object);
            fixture.call("GET", "/read/" + name, "Cookie: object=" + name + "\r\n");
        }
        for (const auto &target : targets) {
            REQUIRE(target->answered() > 0);
        }
    }
    /// Sends the crashing request again and again, and returns how many targets it has crashed.
    int crash(const std::string &method, const std::string &path)
    {
        for (int i = 0; i < resends; ++i) {
            fixture.call(method, path, "", method == "POST" ? "same body" : "");
            std::this_thread::sleep_for(Milliseconds(60));
        }
        int crashes = 0;
        for (const auto &target : targets) {
            crashes += target->crashes();
        }
        return crashes;
    }

    std::vector<std::unique_ptr<CrashingTarget>> targets;
    GatewayFixture fixture;
};

} // namespace

TEST_CASE("A request that crashes targets on connections that were idle is not sent to one after the other")
{
    // Guards against taking the end of a reused connection for a harmless one, though its target has died.
    for (const std::string method : { "POST", "GET" }) {
        CrashingService service;
        service.useAllTargets();
        const int crashes = service.crash(method, method == "POST" ? "/book/poison" : "/read/poison");
        INFO(method);
        CHECK(crashes >= 1);
        CHECK(crashes <= mostCrashes);
    }
}

TEST_CASE("A request that crashes targets is refused though they restart under another id")
{
    // Guards against a death that goes unnoticed because another target answers at the address.
    CrashingService service("-restarted");
    service.useAllTargets();
    const int crashes = service.crash("POST", "/book/poison");
    CHECK(crashes >= 1);
    CHECK(crashes <= mostCrashes);
}
