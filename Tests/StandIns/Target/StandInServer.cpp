#include <StandIns/Target/StandInServer.h>

#include <LibCore/EventLog.h>

#include <Poco/Exception.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Sapphire {

namespace {

constexpr std::uint64_t stopToken = 0;
// The epoll tokens from 1 to this number identify listeners, higher ones connections.
constexpr std::uint64_t mostListeners = 10'000;
constexpr int listenBacklog = 4096;
constexpr int eventsAtOnce = 256;
constexpr std::uint64_t defaultLedgerLimit = 100'000;

std::string reasonPhrase(int status)
{
    static const std::map<int, std::string> reasons {
        { 200, "OK" },
        { 204, "No Content" },
        { 400, "Bad Request" },
        { 404, "Not Found" },
        { 500, "Internal Server Error" },
        { 503, "Service Unavailable" },
        { 504, "Gateway Timeout" },
    };
    const auto found = reasons.find(status);
    return found == reasons.end() ? "Status" : found->second;
}

void watch(int epoll, int descriptor, std::uint64_t token, std::uint32_t events, bool isNew)
{
    epoll_event event {};
    event.events = events;
    event.data.u64 = token;
    ::epoll_ctl(epoll, isNew ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, descriptor, &event);
}

} // namespace

Result<std::unique_ptr<StandInServer>> StandInServer::create(const StandInSettings &settings)
{
    const int epoll = ::epoll_create1(EPOLL_CLOEXEC);
    const int stopEvent = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (epoll < 0 || stopEvent < 0) {
        return fail(ErrorCode::Unavailable, "cannot create the epoll and event descriptors");
    }
    std::unique_ptr<StandInServer> server(new StandInServer(settings, epoll, stopEvent));
    watch(epoll, stopEvent, stopToken, EPOLLIN, true);
    for (std::size_t index = 0; index < server->m_listeners.size(); ++index) {
        Listener &listener = server->m_listeners[index];
        const std::string text = listener.target ? listener.target->settings().address : settings.controlAddress;
        try {
            listener.address = Poco::Net::SocketAddress(text);
        } catch (const Poco::Exception &) {
            return fail(ErrorCode::InvalidArgument, "address: found " + text + ", expected ip:port");
        }
        BOOST_LEAF_CHECK(server->listen(index));
    }
    server->m_controlAddress = server->m_listeners.back().address.toString();
    return server;
}

StandInServer::StandInServer(const StandInSettings &settings, int epoll, int stopEvent)
    : m_epoll(epoll), m_stopEvent(stopEvent), m_ledger(settings.secrets), m_lastConnection(mostListeners)
{
    for (const StandInTargetSettings &target : settings.targets) {
        Listener &listener = m_listeners.emplace_back();
        listener.target = std::make_unique<StandInTarget>(target, m_clock.now());
    }
    m_listeners.emplace_back();
}

StandInServer::~StandInServer()
{
    for (const Listener &listener : m_listeners) {
        if (listener.descriptor >= 0) {
            ::close(listener.descriptor);
        }
    }
    ::close(m_epoll);
    ::close(m_stopEvent);
}

std::string StandInServer::addressOf(const std::string &target) const
{
    for (const Listener &listener : m_listeners) {
        if (listener.target && listener.target->settings().id == target) {
            return listener.address.toString();
        }
    }
    return "";
}

Result<void> StandInServer::listen(std::size_t index)
{
    Listener &listener = m_listeners[index];
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(descriptor, listener.address.addr(), listener.address.length()) != 0
        || ::listen(descriptor, listenBacklog) != 0) {
        const std::string reason = std::strerror(errno);
        ::close(descriptor);
        return fail(ErrorCode::Unavailable, listener.address.toString() + ": " + reason);
    }
    sockaddr_in bound {};
    socklen_t length = sizeof bound;
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&bound), &length);
    listener.address = Poco::Net::SocketAddress(reinterpret_cast<sockaddr *>(&bound), length);
    listener.descriptor = descriptor;
    watch(m_epoll, descriptor, index + 1, EPOLLIN, true);
    if (listener.target) {
        listener.target->noteStarted(m_clock.now());
    }
    return {};
}

void StandInServer::run()
{
    std::array<epoll_event, eventsAtOnce> events {};
    while (!m_isStopped) {
        const int count = ::epoll_wait(m_epoll, events.data(), eventsAtOnce, epollTimeout());
        for (int i = 0; i < count; ++i) {
            const std::uint64_t token = events[i].data.u64;
            if (token == stopToken) {
                continue;
            }
            if (token <= mostListeners) {
                accept(token - 1);
                continue;
            }
            const auto listener = m_listenerOfConnection.find(token);
            if (listener != m_listenerOfConnection.end()) {
                serve(listener->second, token, events[i].events);
            }
        }
        fireTimers();
        m_crashed.clear();
    }
}

void StandInServer::stop()
{
    m_isStopped = true;
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(m_stopEvent, &one, sizeof one);
}

int StandInServer::epollTimeout() const
{
    if (m_timers.empty()) {
        return -1;
    }
    const Microseconds left = Deadline(m_timers.begin()->first).remaining(m_clock.now());
    return static_cast<int>(std::chrono::ceil<Milliseconds>(left).count());
}

void StandInServer::fireTimers()
{
    const TimePoint now = m_clock.now();
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const Timer timer = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        fire(timer);
    }
}

void StandInServer::fire(const Timer &timer)
{
    Listener &listener = m_listeners[timer.listener];
    if (timer.kind == Timer::Kind::Restart) {
        if (listener.descriptor < 0) {
            capture([&] {
                return listen(timer.listener);
            });
        }
        return;
    }
    const auto found = listener.connections.find(timer.connection);
    if (found == listener.connections.end() || found->second->workNumber != timer.work) {
        return;
    }
    StandInConnection &connection = *found->second;
    if (timer.kind == Timer::Kind::Done) {
        endWork(*listener.target, connection, true);
        const Microseconds delay = listener.target->faults().answerDelay;
        if (delay > Microseconds::zero()) {
            m_timers.emplace(m_clock.now() + delay,
                             Timer { timer.listener, timer.connection, timer.work, Timer::Kind::Answer });
            return;
        }
    }
    if (timer.kind == Timer::Kind::TimedOut) {
        endWork(*listener.target, connection, false);
        queueAnswer(connection, 504, "", "{\"error\":\"the request's time is over\"}");
    } else {
        answerWork(timer.listener, connection);
    }
    connection.phase = StandInConnection::Phase::Answering;
    if (!flush(timer.connection, connection) || !advance(timer.listener, timer.connection, connection)) {
        close(timer.listener, timer.connection);
    }
}

void StandInServer::accept(std::size_t index)
{
    Listener &listener = m_listeners[index];
    while (listener.descriptor >= 0) {
        const int descriptor = ::accept4(listener.descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto connection = std::make_unique<StandInConnection>(descriptor);
        if (listener.target) {
            const auto limit = static_cast<std::size_t>(listener.target->settings().connectionLimit);
            if (listener.connections.size() >= limit) {
                connection->resetOnClose();
                continue;
            }
            listener.target->noteAccepted();
        }
        const std::uint64_t number = ++m_lastConnection;
        watch(m_epoll, descriptor, number, EPOLLIN | EPOLLRDHUP, true);
        listener.connections.emplace(number, std::move(connection));
        m_listenerOfConnection.emplace(number, index);
    }
}

void StandInServer::serve(std::size_t index, std::uint64_t connectionNumber, std::uint32_t events)
{
    StandInConnection &connection = *m_listeners[index].connections.at(connectionNumber);
    bool isOpen = (events & (EPOLLERR | EPOLLHUP)) == 0;
    isOpen = isOpen && connection.receive();
    if (connection.isSilent) {
        connection.discardInput();
    } else if (isOpen) {
        if ((events & EPOLLOUT) != 0) {
            isOpen = isOpen && flush(connectionNumber, connection);
        }
        isOpen = isOpen && advance(index, connectionNumber, connection);
    }
    if (!isOpen) {
        close(index, connectionNumber);
    }
}

bool StandInServer::advance(std::size_t index, std::uint64_t connectionNumber, StandInConnection &connection)
{
    while (true) {
        if (connection.phase == StandInConnection::Phase::Head) {
            bool isMalformed = false;
            std::optional<StandInRequest> request = connection.takeHead(isMalformed);
            if (!request) {
                return !isMalformed;
            }
            connection.request = std::move(*request);
            connection.phase = StandInConnection::Phase::Body;
            if (!beginRequest(index, connection)) {
                return false;
            }
        }
        if (connection.phase == StandInConnection::Phase::Body) {
            if (!receiveBody(index, connectionNumber, connection)) {
                return flush(connectionNumber, connection);
            }
        }
        if (connection.phase == StandInConnection::Phase::Working) {
            return true;
        }
        if (!flush(connectionNumber, connection)) {
            return false;
        }
        if (connection.phase == StandInConnection::Phase::Answering) {
            return true;
        }
    }
}

bool StandInServer::beginRequest(std::size_t index, StandInConnection &connection)
{
    Listener &listener = m_listeners[index];
    const StandInRequest &request = connection.request;
    connection.body.clear();
    connection.bodyTail.clear();
    connection.isShed = false;
    connection.ledgerNumber = 0;
    connection.closesAfterAnswer = Poco::icompare(request.header("Connection"), "close") == 0;
    if (!listener.target || request.path == "/health" || request.path == "/load") {
        return true;
    }
    StandInTarget &target = *listener.target;
    for (const auto &[name, value] : request.headers) {
        m_ledger.noteHeader(target.settings().id, name, value);
    }
    if (!target.hasFreeSlot()) {
        target.noteShed();
        connection.isShed = true;
        queueAnswer(connection, 503, "Sapphire-Shed: 1\r\n", "{\"error\":\"all slots are busy\"}");
        return true;
    }
    const TimePoint now = m_clock.now();
    target.takeSlot(now);
    LedgerEntry entry;
    entry.target = target.settings().id;
    entry.requestId = request.header("Idempotency-Key");
    entry.method = request.method;
    entry.path = request.uri;
    entry.customer = request.header("Sapphire-Customer");
    entry.startedAt = now;
    connection.ledgerNumber = m_ledger.begin(std::move(entry));
    const std::string &crashText = target.faults().crashText;
    if (!crashText.empty() && request.uri.find(crashText) != std::string::npos) {
        if (target.faults().restartAfter > Microseconds::zero()) {
            m_timers.emplace(now + target.faults().restartAfter, Timer { index, 0, 0, Timer::Kind::Restart });
        }
        // crash() also removes this connection, so that the caller finds nothing left to close.
        connection.resetOnClose();
        crash(index);
        return false;
    }
    return true;
}

bool StandInServer::receiveBody(std::size_t index, std::uint64_t connectionNumber, StandInConnection &connection)
{
    std::string bytes;
    const bool isWhole = connection.takeBody(connection.request, bytes);
    Listener &listener = m_listeners[index];
    if (listener.target && !bytes.empty()) {
        const std::string inspected = connection.bodyTail + bytes;
        m_ledger.checkForSecrets(listener.target->settings().id, "body", inspected);
        const std::size_t kept = std::min(inspected.size(), m_ledger.longestSecret());
        connection.bodyTail = inspected.substr(inspected.size() - kept);
        if (connection.request.queryNumber("echo", 0) != 0) {
            connection.body += bytes;
        }
    }
    if (!isWhole) {
        return false;
    }
    connection.phase = StandInConnection::Phase::Answering;
    if (connection.isShed) {
        return true;
    }
    if (!listener.target) {
        int status = 200;
        const std::string answer = control(connection.request, status);
        queueAnswer(connection, status, "", answer);
        return true;
    }
    if (connection.ledgerNumber == 0) {
        answerHealth(*listener.target, connection);
        return true;
    }
    connection.phase = StandInConnection::Phase::Working;
    schedule(index, connectionNumber, connection);
    return true;
}

void StandInServer::schedule(std::size_t index, std::uint64_t connectionNumber, StandInConnection &connection)
{
    StandInTarget &target = *m_listeners[index].target;
    const TimePoint now = m_clock.now();
    const StandInRequest &request = connection.request;
    Microseconds time = target.serviceTime(now);
    if (request.query.contains("sleep")) {
        time = Milliseconds(request.queryNumber("sleep", 0));
    }
    if (connection.isFirstRequest) {
        time += target.settings().connectionCost;
        connection.isFirstRequest = false;
    }
    Timer::Kind kind = Timer::Kind::Done;
    Poco::UInt64 timeout = 0;
    if (Poco::NumberParser::tryParseUnsigned64(request.header("Request-Timeout-Ms"), timeout)
        && Milliseconds(timeout) < time) {
        time = Milliseconds(timeout);
        kind = Timer::Kind::TimedOut;
    }
    connection.workNumber = ++m_lastWork;
    m_timers.emplace(now + time, Timer { index, connectionNumber, connection.workNumber, kind });
}

void StandInServer::endWork(StandInTarget &target, StandInConnection &connection, bool isFinished)
{
    const TimePoint now = m_clock.now();
    m_ledger.end(connection.ledgerNumber, now, isFinished);
    connection.ledgerNumber = 0;
    target.freeSlot(now);
    if (isFinished) {
        target.noteFinished();
    } else {
        target.noteCancelled();
    }
}

void StandInServer::answerWork(std::size_t index, StandInConnection &connection)
{
    StandInTarget &target = *m_listeners[index].target;
    const StandInRequest &request = connection.request;
    std::string body;
    const std::uint64_t patternBytes = request.queryNumber("bytes", 0);
    const bool isChunked = request.queryNumber("chunked", 0) != 0;
    if (request.queryNumber("echo", 0) != 0) {
        body = std::move(connection.body);
    } else if (patternBytes == 0) {
        body = "{\"target\":" + quoteJson(target.settings().id) + ",\"method\":" + quoteJson(request.method);
        body += ",\"path\":" + quoteJson(request.uri) + ",\"id\":" + quoteJson(request.header("Idempotency-Key")) + "}";
    }
    const bool isCut = target.faults().answersToCut > 0;
    std::uint64_t sentPattern = patternBytes;
    std::string head = "HTTP/1.1 " + std::to_string(request.queryNumber("status", 200)) + " OK\r\n";
    if (isChunked && patternBytes > 0) {
        head += "Transfer-Encoding: chunked\r\n";
    } else {
        head += "Content-Length: " + std::to_string(body.size() + patternBytes) + "\r\n";
    }
    if (isCut) {
        --target.faults().answersToCut;
        connection.closesAfterAnswer = true;
        if (target.faults().cutsByReset) {
            connection.resetOnClose();
        }
        body.resize(body.size() / 2);
        sentPattern /= 2;
    }
    connection.queue(head + "Content-Type: application/json\r\n\r\n");
    if (request.method == "HEAD") {
        return;
    }
    if (isChunked && isCut) {
        // A chunk that is shorter than its announced size.
        connection.queue("ffffff\r\n");
        connection.queuePattern(sentPattern, false);
        return;
    }
    connection.queue(body);
    connection.queuePattern(sentPattern, isChunked);
}

void StandInServer::queueAnswer(StandInConnection &connection, int status, const std::string &extraHeaders,
                                const std::string &body)
{
    connection.queue("HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\nContent-Length: "
                     + std::to_string(body.size()) + "\r\nContent-Type: application/json\r\n" + extraHeaders + "\r\n");
    if (connection.request.method != "HEAD") {
        connection.queue(body);
    }
}

void StandInServer::answerHealth(StandInTarget &target, StandInConnection &connection)
{
    const std::string &health = target.faults().health;
    if (health == "silent") {
        connection.isSilent = true;
    } else if (health == "error") {
        queueAnswer(connection, 500, "", "{}");
    } else {
        queueAnswer(connection, 200, "",
                    connection.request.path == "/health" ? target.healthJson() : target.loadJson());
    }
}

bool StandInServer::flush(std::uint64_t connectionNumber, StandInConnection &connection)
{
    const bool hadOutput = connection.hasOutput();
    if (!connection.flush()) {
        return false;
    }
    if (connection.hasOutput()) {
        watch(m_epoll, connection.descriptor(), connectionNumber, EPOLLIN | EPOLLOUT | EPOLLRDHUP, false);
        return true;
    }
    if (hadOutput) {
        watch(m_epoll, connection.descriptor(), connectionNumber, EPOLLIN | EPOLLRDHUP, false);
    }
    if (connection.phase == StandInConnection::Phase::Answering && !connection.isSilent) {
        if (connection.closesAfterAnswer) {
            return false;
        }
        connection.phase = StandInConnection::Phase::Head;
    }
    return true;
}

void StandInServer::close(std::size_t index, std::uint64_t connectionNumber)
{
    Listener &listener = m_listeners[index];
    const auto found = listener.connections.find(connectionNumber);
    if (found == listener.connections.end()) {
        return;
    }
    if (found->second->ledgerNumber != 0) {
        endWork(*listener.target, *found->second, false);
    }
    listener.connections.erase(found);
    m_listenerOfConnection.erase(connectionNumber);
}

void StandInServer::crash(std::size_t index)
{
    Listener &listener = m_listeners[index];
    if (listener.descriptor >= 0) {
        ::close(listener.descriptor);
        listener.descriptor = -1;
    }
    // The connections are closed at the end of the event loop's round, since a caller may hold a reference to one.
    for (auto &[number, connection] : listener.connections) {
        connection->resetOnClose();
        if (connection->ledgerNumber != 0) {
            endWork(*listener.target, *connection, false);
        }
        connection->workNumber = 0;
        connection->isSilent = true;
    }
    for (auto &[number, connection] : listener.connections) {
        m_listenerOfConnection.erase(number);
    }
    m_crashed.push_back(std::move(listener.connections));
    listener.connections.clear();
}

void StandInServer::silence(Listener &listener)
{
    for (auto &[number, connection] : listener.connections) {
        connection->isSilent = true;
        if (connection->ledgerNumber != 0) {
            endWork(*listener.target, *connection, false);
        }
        connection->workNumber = 0;
    }
}

std::string StandInServer::control(const StandInRequest &request, int &status)
{
    if (request.path == "/control/set") {
        return set(request, status);
    }
    if (request.path == "/control/ledger") {
        return m_ledger.entriesJson(request.queryNumber("after", 0), request.queryNumber("limit", defaultLedgerLimit));
    }
    if (request.path == "/control/counters") {
        return countersJson();
    }
    if (request.path == "/control/findings") {
        return m_ledger.findingsJson();
    }
    if (request.path == "/control/secret") {
        m_ledger.addSecret(request.queryText("text"));
        return "{}";
    }
    if (request.path == "/control/reset") {
        m_ledger.clear();
        for (Listener &listener : m_listeners) {
            if (listener.target) {
                listener.target->clearCounters();
            }
        }
        return "{}";
    }
    status = 404;
    return "{\"error\":\"unknown control path\"}";
}

std::string StandInServer::set(const StandInRequest &request, int &status)
{
    std::map<std::string, std::string> parameters = request.query;
    const std::string wanted = request.queryText("target");
    const std::string service = request.queryText("service");
    const std::string down = request.queryText("down");
    const bool isSilenced = request.queryNumber("silence", 0) != 0;
    for (const char *name : { "target", "service", "down", "silence" }) {
        parameters.erase(name);
    }
    int matched = 0;
    for (std::size_t index = 0; index < m_listeners.size(); ++index) {
        Listener &listener = m_listeners[index];
        if (!listener.target || (!service.empty() && listener.target->settings().service != service)
            || (wanted != "*" && listener.target->settings().id != wanted)) {
            continue;
        }
        ++matched;
        const Outcome<void> outcome = capture([&]() -> Result<void> {
            BOOST_LEAF_CHECK(listener.target->apply(parameters));
            if (down == "0" && listener.descriptor < 0) {
                BOOST_LEAF_CHECK(listen(index));
            }
            return {};
        });
        if (!outcome) {
            status = 400;
            return "{\"error\":" + quoteJson(outcome.error().message) + "}";
        }
        if (down == "1") {
            crash(index);
        }
        if (isSilenced) {
            silence(listener);
        }
    }
    if (matched == 0) {
        status = 404;
    }
    return "{\"matched\":" + std::to_string(matched) + "}";
}

std::string StandInServer::countersJson() const
{
    std::string json = "{\"targets\":{";
    const char *separator = "";
    for (const Listener &listener : m_listeners) {
        if (listener.target) {
            json += separator + quoteJson(listener.target->settings().id) + ":";
            json += listener.target->countersJson(listener.connections.size());
            separator = ",";
        }
    }
    return json + "},\"customers\":" + m_ledger.customersJson() + "}";
}

} // namespace Sapphire
