#include <LibTarget/TargetProbe.h>

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include <poll.h>
#include <sys/socket.h>

namespace Sapphire {

namespace {

// Both answers are a few dozen bytes; a target that sends much more is failing.
constexpr std::size_t mostAnswerBytes = 16384;
constexpr int mostSlots = 1'000'000;

/// Returns an empty object if the text isn't a JSON object.
Poco::JSON::Object::Ptr parseObject(const std::string &text)
{
    try {
        Poco::JSON::Parser parser;
        return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception &) {
        return new Poco::JSON::Object;
    }
}

int readCount(const Poco::JSON::Object &object, const char *name)
{
    try {
        return std::clamp(object.getValue<int>(name), 0, mostSlots);
    } catch (const Poco::Exception &) {
        return 0;
    }
}

} // namespace

TargetProbe::TargetProbe(TargetId target, VmId observer, const Poco::Net::SocketAddress &address)
    : m_target(std::move(target))
    , m_observer(std::move(observer))
    , m_address(address)
    , m_parser(HttpParser::Kind::Answer, mostAnswerBytes)
{
}

void TargetProbe::begin(TimePoint now)
{
    m_report = TargetReport { m_target, m_observer, now };
    m_isReused = m_socket.has_value();
    if (m_socket) {
        sendRequest("/health", Step::Health, now);
    } else {
        connect(now);
    }
}

void TargetProbe::connect(TimePoint now)
{
    try {
        m_socket.emplace();
        m_socket->connectNB(m_address);
        m_step = Step::Connecting;
    } catch (const Poco::Exception &) {
        m_socket.reset();
        finish(TargetHealth::Unreachable, now);
    }
}

void TargetProbe::sendRequest(const char *path, Step step, TimePoint now)
{
    m_parser.begin();
    m_body.clear();
    m_step = step;
    const std::string text = std::string("GET ") + path + " HTTP/1.1\r\nHost: " + m_address.toString() + "\r\n\r\n";
    const ssize_t sent = ::send(m_socket->impl()->sockfd(), text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent != static_cast<ssize_t>(text.size())) {
        handleConnectionLoss(now);
    }
}

void TargetProbe::preparePoll(pollfd &entry) const
{
    entry.fd = m_socket->impl()->sockfd();
    entry.events = m_step == Step::Connecting ? POLLOUT : POLLIN;
    entry.revents = 0;
}

void TargetProbe::handleEvents(short events, TimePoint now)
{
    if (events == 0 || isDone()) {
        return;
    }
    if (m_step != Step::Connecting) {
        receive(now);
    } else if (m_socket->impl()->socketError() != 0) {
        handleConnectionLoss(now);
    } else {
        sendRequest("/health", Step::Health, now);
    }
}

void TargetProbe::receive(TimePoint now)
{
    std::array<char, 4096> buffer {};
    const ssize_t received = ::recv(m_socket->impl()->sockfd(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (received < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (received <= 0) {
        handleConnectionLoss(now);
        return;
    }
    const Outcome<bool> isComplete = capture([&] {
        return takeBytes({ buffer.data(), static_cast<std::size_t>(received) });
    });
    if (!isComplete) {
        m_socket.reset();
        finish(TargetHealth::Failing, now);
        return;
    }
    if (!isComplete.value()) {
        return;
    }
    if (m_step == Step::Health) {
        takeHealth();
        sendRequest("/load", Step::Load, now);
    } else {
        takeLoad();
        finish(m_health, now);
    }
}

Result<bool> TargetProbe::takeBytes(std::string_view bytes)
{
    while (!bytes.empty() && !m_parser.isComplete()) {
        BOOST_LEAF_AUTO(taken, m_parser.feed(bytes));
        bytes.remove_prefix(taken);
        m_body += m_parser.takeBody();
        m_parser.skipInformational();
    }
    if (m_parser.endsWithConnection()) {
        return fail(ErrorCode::DataLoss, "neither Content-Length nor chunked");
    }
    if (m_body.size() > mostAnswerBytes) {
        return fail(ErrorCode::DataLoss, "the answer is too long");
    }
    return m_parser.isComplete();
}

bool TargetProbe::hasFailedStatus() const
{
    return m_parser.head().status != Poco::Net::HTTPResponse::HTTP_OK;
}

void TargetProbe::takeHealth()
{
    const Poco::JSON::Object::Ptr object = parseObject(m_body);
    const std::string status = object->optValue<std::string>("status", "");
    m_health = TargetHealth::Failing;
    if (status == "draining") {
        m_health = TargetHealth::Draining;
    } else if (status == "ok" && !hasFailedStatus()) {
        m_health = TargetHealth::Ok;
    }
}

void TargetProbe::takeLoad()
{
    if (hasFailedStatus()) {
        return;
    }
    const Poco::JSON::Object::Ptr object = parseObject(m_body);
    m_report.inFlight = readCount(*object, "inFlight");
    m_report.slots = readCount(*object, "slots");
}

void TargetProbe::handleConnectionLoss(TimePoint now)
{
    m_socket.reset();
    if (m_isReused) {
        // The target may only have closed the idle connection.
        m_isReused = false;
        connect(now);
        return;
    }
    finish(TargetHealth::Unreachable, now);
}

void TargetProbe::giveUp(TimePoint now)
{
    // The health may be known although the load isn't.
    const bool isHealthKnown = m_step == Step::Load;
    m_socket.reset();
    finish(isHealthKnown ? m_health : TargetHealth::Unreachable, now);
}

void TargetProbe::finish(TargetHealth health, TimePoint now)
{
    m_step = Step::Done;
    m_report.health = health;
    m_report.latency = now - m_report.observedAt;
}

} // namespace Sapphire
