#include <StandIns/WireTarget/WireTarget.h>

#include <stdexcept>

namespace Sapphire {

namespace {

constexpr int statusOk = 200;
constexpr int statusMisdirected = 421;
constexpr int statusServerError = 500;
constexpr int statusUnavailable = 503;

} // namespace

/// One request at a target.
class WireTargetHandler final : public HttpRequestHandler
{
public:
    explicit WireTargetHandler(WireTarget &target)
        : m_target(&target), m_timer(target.m_loop, [this] {
            finish();
        })
    {
    }

    void begin(HttpServerConnection &connection, const HttpHead &head) override
    {
        m_connection = &connection;
        m_head = head;
    }
    void bodyReceived(std::string_view bytes, bool isComplete) override
    {
        m_bodyBytes += bytes.size();
        if (isComplete && m_connection != nullptr) {
            accept();
        }
    }
    void callerGone() override
    {
        m_connection = nullptr;
        release();
    }

    /// Takes a slot and starts the service time.
    void run()
    {
        m_target->m_running.insert(this);
        m_target->noteRun({ header("X-Attempt-Id"), m_head.target, header("X-Tenant"), m_target->id(),
                            m_target->m_loop.clock().now() });
        const WireTargetBehaviour behaviour = m_target->m_behaviour;
        if (!behaviour.crashPath.empty() && m_head.target == behaviour.crashPath) {
            m_target->crashAndRestart();
            return;
        }
        if (!behaviour.isSilent) {
            m_timer.start(Deadline::after(m_target->m_loop.clock().now(), behaviour.serviceTime));
        }
    }
    /// Called when the target crashes: the handler may not use it any more.
    void detach()
    {
        m_timer.stop();
        m_target = nullptr;
    }

private:
    std::string header(const char *name) const
    {
        return std::string(m_head.header(name).value_or(""));
    }

    void accept()
    {
        const std::string expected = header("X-Target-Instance");
        if (m_head.target == "/health") {
            answer(statusOk, { { "X-Instance-Id", m_target->id() } });
        } else if (!expected.empty() && expected != m_target->id()) {
            answer(statusMisdirected, { { "X-Instance-Id", m_target->id() } });
        } else if (m_target->m_behaviour.pause > Milliseconds::zero()) {
            turnAway(m_target->m_behaviour.pause);
        } else if (static_cast<int>(m_target->m_running.size()) < m_target->m_behaviour.slots) {
            run();
        } else if (static_cast<int>(m_target->m_waiting.size()) < m_target->m_behaviour.queue) {
            m_target->m_waiting.emplace_back(this);
        } else {
            answer(statusUnavailable, { { "X-Not-Executed", "1" } });
        }
    }

    void turnAway(Milliseconds pause)
    {
        const TimePoint now = m_target->m_loop.clock().now();
        m_target->notePause({ header("X-Attempt-Id"), m_target->id(), now, now + pause });
        answer(statusUnavailable,
               { { "X-Not-Executed", "1" },
                 { "Retry-After", std::to_string(std::chrono::duration<double>(pause).count()) } });
    }

    void finish()
    {
        const RefPointer<WireTargetHandler> self(this);
        const bool isFailing = m_target->m_behaviour.isFailing;
        release();
        if (m_connection != nullptr) {
            answer(isFailing ? statusServerError : statusOk, { { "X-Response-Seal", "sealed" } });
        }
    }

    void release()
    {
        const RefPointer<WireTargetHandler> self(this);
        m_timer.stop();
        if (m_target != nullptr) {
            m_target->m_running.erase(this);
            std::erase(m_target->m_waiting, self);
            m_target->serveWaiting();
        }
    }

    void answer(int status, std::vector<HeaderField> headers)
    {
        headers.push_back({ "X-Attempt-Id", header("X-Attempt-Id") });
        if (m_target->m_behaviour.isLeaving) {
            headers.push_back({ "Server-Leaving", "1" });
        }
        headers.push_back({ "X-Server-Load",
                            std::to_string(m_target->m_running.size()) + ","
                                + std::to_string(m_target->m_waiting.size()) + ","
                                + std::to_string(m_target->m_behaviour.slots) });
        HttpServerConnection *const connection = std::exchange(m_connection, nullptr);
        connection->answer({ status, {}, headers, {} }, "ran at " + m_target->id());
    }

    WireTarget *m_target;
    Timer m_timer;
    HttpServerConnection *m_connection { nullptr };
    HttpHead m_head;
    std::size_t m_bodyBytes { 0 };
};

WireTarget::WireTarget(EventLoop &loop, std::string id, const std::string &ip)
    : m_loop(loop), m_id(std::move(id)), m_address(ip + ":0"), m_restartTimer(loop, [this] {
        restart();
    })
{
    listen();
}

WireTarget::~WireTarget()
{
    crash();
}

void WireTarget::listen()
{
    Outcome<std::unique_ptr<HttpListener>> listener = capture([this] {
        return HttpListener::create(m_loop, Poco::Net::SocketAddress(m_address), *this, *this);
    });
    if (!listener) {
        throw std::runtime_error(listener.error().message);
    }
    m_listener = std::move(listener.value());
    m_address = m_listener->address().toString();
}

void WireTarget::crash()
{
    for (const RefPointer<WireTargetHandler> &handler : std::exchange(m_running, {})) {
        handler->detach();
    }
    for (const RefPointer<WireTargetHandler> &handler : std::exchange(m_waiting, {})) {
        handler->detach();
    }
    m_listener.reset();
}

void WireTarget::crashAndRestart()
{
    m_loop.later([this] {
        crash();
        m_restartTimer.start(Deadline::after(m_loop.clock().now(), m_behaviour.downTime));
    });
}

void WireTarget::restart()
{
    crash();
    listen();
}

void WireTarget::setBehaviour(const WireTargetBehaviour &behaviour)
{
    const std::lock_guard guard(m_mutex);
    m_behaviour = behaviour;
}

std::vector<WireTargetRun> WireTarget::runs() const
{
    const std::lock_guard guard(m_mutex);
    return m_runs;
}

void WireTarget::noteRun(WireTargetRun run)
{
    const std::lock_guard guard(m_mutex);
    m_runs.push_back(std::move(run));
}

std::vector<WireTargetPause> WireTarget::pauses() const
{
    const std::lock_guard guard(m_mutex);
    return m_pauses;
}

void WireTarget::notePause(WireTargetPause pause)
{
    const std::lock_guard guard(m_mutex);
    m_pauses.push_back(std::move(pause));
}

void WireTarget::serveWaiting()
{
    while (!m_waiting.empty() && static_cast<int>(m_running.size()) < m_behaviour.slots) {
        const RefPointer<WireTargetHandler> handler = m_waiting.front();
        m_waiting.pop_front();
        handler->run();
    }
}

RefPointer<HttpRequestHandler> WireTarget::createHandler()
{
    return makeRefCounted<WireTargetHandler>(*this);
}

} // namespace Sapphire
