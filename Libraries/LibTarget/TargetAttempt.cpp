#include <LibTarget/TargetAttempt.h>

#include <LibExchange/ConnectionHeaders.h>
#include <LibExchange/RetryAfter.h>
#include <LibTarget/HeaderFilter.h>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace Sapphire {

namespace {

constexpr std::string_view lastChunk = "0\r\n\r\n";
constexpr int hexadecimal = 16;

std::string hexadecimalText(std::size_t number)
{
    std::array<char, 20> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, hexadecimal);
    return { digits.data(), end.ptr };
}

bool isValid(const RequestHead &head)
{
    const auto isToken = [](const std::string &text) {
        return !text.empty() && isSafeText(text) && text.find_first_of(" \t:") == std::string::npos;
    };
    const bool isPath =
        head.path.starts_with('/') && isSafeText(head.path) && head.path.find_first_of(" \t") == std::string::npos;
    return isPath && isToken(head.method) && isSafeText(head.id.text()) && isSafeText(head.customer.text())
        && std::all_of(head.headers.begin(), head.headers.end(), [&](const HeaderField &field) {
               return isToken(field.name) && isSafeText(field.value);
           });
}

} // namespace

std::string_view nameOf(AttemptEnd end)
{
    static constexpr std::array<std::string_view, 8> names {
        "answered", "shed", "connect-failed", "connection-lost", "silent", "answer-cut", "own-limit", "caller-ended",
    };
    return names.at(static_cast<std::size_t>(end));
}

// The piece stays uninitialized: only bytes that were read are sent from it.
// NOLINTNEXTLINE(cppcoreguidelines-pro-type-member-init)
TargetAttempt::TargetAttempt(const AttemptTarget &target, const Clock &clock, const RequestHead &head, BodySource &body,
                             AnswerSink &sink)
    : m_target(target), m_clock(clock), m_head(head), m_body(body), m_sink(sink), m_limit { head.deadline, &sink }
{
}

TargetAttempt::~TargetAttempt()
{
    if (m_connection) {
        releaseConnection(false);
    }
}

AttemptReport TargetAttempt::run()
{
    if (!isValid(m_head)) {
        return refuse(AttemptEnd::CallerEnded, RefusalReason::BadRequest, "method, path or headers are not valid HTTP");
    }
    const Outcome<void> prepared = capture([this] {
        return readFirstPiece();
    });
    if (!prepared) {
        return bodyFailed(prepared.error());
    }
    if (m_head.deadline.remaining(m_clock.now()) < Milliseconds(1)) {
        return refuse(AttemptEnd::CallerEnded, RefusalReason::DeadlinePassed, "no time left to send the request");
    }
    auto acquired = capture([this] {
        return m_target.pool->acquire(m_limit);
    });
    if (!acquired) {
        return acquireFailed(acquired.error());
    }
    m_connection = std::move(acquired.value());
    m_wasReused = m_connection->isReused();
    const Outcome<void> sent = capture([this] {
        return send();
    });
    // A target that rejects the rest of a body may answer and close the connection. Sending then fails, but the answer
    // can still be read.
    const bool mayHaveAnswer = sent
        || (!m_hasBodyFailed && sent.error().code == ErrorCode::Unavailable && m_connection && m_connection->hasSent());
    if (!mayHaveAnswer) {
        return m_hasBodyFailed ? bodyFailed(sent.error()) : connectionFailed(sent.error());
    }
    m_requestEndAt = m_clock.now();
    const Outcome<void> received = capture([this] {
        return receive();
    });
    if (!received) {
        return connectionFailed(received.error());
    }
    if (!m_isAnswerStarted) {
        return shed();
    }
    releaseConnection(m_isRequestComplete && m_reader->isConnectionReusable());
    return { { std::nullopt, true }, AttemptEnd::Answered, m_status, m_latency, m_sentAt, m_wasReused, m_pausedUntil };
}

Result<void> TargetAttempt::readFirstPiece()
{
    // Read before a connection is acquired, so that a caller that sends a small body slowly occupies no slot.
    const std::uint64_t wanted = std::min<std::uint64_t>(m_head.bodyBytes.value_or(1), pieceBytes);
    while (!m_isBodyAtEnd && m_pieceBytes < wanted) {
        BOOST_LEAF_AUTO(count, readBody(std::span(m_piece).subspan(m_pieceBytes)));
        m_pieceBytes += count;
    }
    return {};
}

Result<std::size_t> TargetAttempt::readBody(std::span<char> buffer)
{
    if (m_head.bodyBytes) {
        const std::uint64_t left = *m_head.bodyBytes - m_bodyRead;
        buffer = buffer.first(std::min<std::uint64_t>(buffer.size(), left));
    }
    m_hasBodyFailed = true;
    std::size_t count = 0;
    if (!buffer.empty()) {
        BOOST_LEAF_ASSIGN(count, m_body.read(buffer));
    }
    m_bodyRead += count;
    m_isBodyAtEnd = count == 0 || (m_head.bodyBytes && m_bodyRead == *m_head.bodyBytes);
    if (m_head.bodyBytes && m_isBodyAtEnd && m_bodyRead < *m_head.bodyBytes) {
        return fail(ErrorCode::DataLoss, "the request's body is shorter than announced");
    }
    m_hasBodyFailed = false;
    return count;
}

Result<void> TargetAttempt::send()
{
    const Outcome<void> first = capture([this] {
        return sendHead();
    });
    if (first) {
        return sendBody();
    }
    const bool isStale = m_wasReused && !m_connection->hasSent() && first.error().code == ErrorCode::Unavailable;
    if (!isStale) {
        return fail(first.error());
    }
    // The target closed the idle connection. Nothing was sent on it, so the request can be sent on a new one.
    releaseConnection(false);
    BOOST_LEAF_ASSIGN(m_connection, m_target.pool->acquireNew(m_limit));
    m_wasReused = false;
    BOOST_LEAF_CHECK(sendHead());
    return sendBody();
}

Result<void> TargetAttempt::sendHead()
{
    m_sentAt = m_clock.now();
    std::string text = requestText();
    text += framed(std::string_view(m_piece.data(), m_pieceBytes));
    BOOST_LEAF_AUTO(isSent, sendAll(text));
    m_isRequestComplete = isSent && m_isBodyAtEnd;
    m_isBodyAtEnd = m_isBodyAtEnd || !isSent;
    return {};
}

Result<void> TargetAttempt::sendBody()
{
    while (!m_isBodyAtEnd) {
        BOOST_LEAF_AUTO(count, readBody(m_piece));
        std::string_view piece(m_piece.data(), count);
        BOOST_LEAF_AUTO(isSent, sendAll(m_head.bodyBytes ? piece : std::string_view(framed(piece))));
        m_isRequestComplete = isSent && m_isBodyAtEnd;
        // A target that answers early, for example to shed the request, doesn't need the rest of the body.
        if (!isSent || (!m_isBodyAtEnd && m_connection->hasPendingInput())) {
            return {};
        }
    }
    return {};
}

Result<bool> TargetAttempt::sendAll(std::string_view bytes)
{
    BOOST_LEAF_AUTO(count, m_connection->send(bytes, m_limit));
    return count == bytes.size();
}

std::string TargetAttempt::requestText() const
{
    Poco::Net::HTTPRequest request(m_head.method, m_head.path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.set("Host", m_target.pool->address().toString());
    const std::vector<std::string> options = connectionOptions(m_head.headers);
    for (const HeaderField &field : m_head.headers) {
        const bool isOption = std::find(options.begin(), options.end(), Poco::toLower(field.name)) != options.end();
        if (!isOption && mayForwardToTarget(field.name)) {
            request.add(field.name, field.value);
        }
    }
    const auto left = std::chrono::duration_cast<Milliseconds>(m_head.deadline.remaining(m_clock.now()));
    request.set("Request-Timeout-Ms", std::to_string(std::max<Milliseconds::rep>(left.count(), 1)));
    if (m_head.trace) {
        request.set("traceparent", m_head.trace->header());
    }
    if (!m_head.id.isEmpty()) {
        request.set("Idempotency-Key", m_head.id.text());
    }
    if (!m_head.customer.isEmpty()) {
        request.set("Sapphire-Customer", m_head.customer.text());
    }
    if (m_head.bodyBytes) {
        const bool isPlainGet = *m_head.bodyBytes == 0 && (m_head.method == "GET" || m_head.method == "HEAD");
        if (!isPlainGet) {
            request.setContentLength64(static_cast<Poco::Int64>(*m_head.bodyBytes));
        }
    } else if (m_pieceBytes > 0) {
        request.setChunkedTransferEncoding(true);
    }
    std::ostringstream stream;
    request.write(stream);
    return std::move(stream).str();
}

std::string TargetAttempt::framed(std::string_view piece) const
{
    if (m_head.bodyBytes || m_bodyRead == 0) {
        return std::string(piece);
    }
    std::string text;
    if (!piece.empty()) {
        text = hexadecimalText(piece.size()) + "\r\n";
        text += piece;
        text += "\r\n";
    }
    if (m_isBodyAtEnd) {
        text += lastChunk;
    }
    return text;
}

Result<void> TargetAttempt::receive()
{
    m_reader.emplace(*m_connection, m_head.method == "HEAD");
    BOOST_LEAF_CHECK(m_reader->readHead(m_limit));
    m_latency = m_clock.now() - m_requestEndAt;
    m_status = m_reader->head().status;
    readPause();
    const bool isShed = m_status == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE
        && m_reader->head().header("Sapphire-Shed") == "1";
    if (isShed) {
        return {};
    }
    BOOST_LEAF_CHECK(forwardHead());
    return forwardBody();
}

void TargetAttempt::readPause()
{
    const std::optional<std::string_view> retryAfter = m_reader->head().header("Retry-After");
    if (m_status != Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE || !retryAfter) {
        return;
    }
    const RetryAfter pause = readRetryAfter(*retryAfter, m_clock.now());
    if (pause.reading != RetryAfter::Reading::Unreadable) {
        m_pausedUntil = pause.until;
    }
}

Result<void> TargetAttempt::forwardHead()
{
    AnswerHead answer;
    answer.status = m_status;
    answer.bodyBytes = m_reader->announcedBytes();
    answer.target = m_target.id;
    answer.locality = m_target.locality;
    answer.vm = m_target.ownVm;
    std::vector<HeaderField> received = m_reader->head().headers;
    const std::vector<std::string> options = connectionOptions(received);
    for (HeaderField &field : received) {
        const bool isOption = std::find(options.begin(), options.end(), Poco::toLower(field.name)) != options.end();
        if (!isOption && mayForwardToCaller(field.name)) {
            answer.headers.push_back(std::move(field));
        }
    }
    m_isAnswerStarted = true;
    m_hasSinkFailed = true;
    BOOST_LEAF_CHECK(m_sink.start(answer));
    m_hasSinkFailed = false;
    return {};
}

Result<void> TargetAttempt::forwardBody()
{
    while (true) {
        BOOST_LEAF_AUTO(count, m_reader->readBody(m_piece, m_limit));
        m_hasSinkFailed = true;
        if (count == 0) {
            return m_sink.finish();
        }
        BOOST_LEAF_CHECK(m_sink.write(std::span<const char>(m_piece.data(), count)));
        m_hasSinkFailed = false;
    }
}

AttemptReport TargetAttempt::shed()
{
    // Targets name no request in their answers. A faulty one may write this refusal once more when the next request is
    // on its way, which would then count as not run although the target runs it.
    releaseConnection(false);
    // Even if the request was sent completely, the target states that it has not run it.
    Refusal refusal { RefusalReason::NoCapacity, Verdict::NotRun, "target " + m_target.id.text() + " is at capacity" };
    return {
        { std::move(refusal), false }, AttemptEnd::Shed, m_status, m_latency, m_sentAt, m_wasReused, m_pausedUntil
    };
}

AttemptReport TargetAttempt::refuse(AttemptEnd end, RefusalReason reason, std::string detail) const
{
    const Verdict verdict = m_sentAt == TimePoint {} ? Verdict::NotRun : Verdict::MayHaveRun;
    Refusal refusal { reason, verdict, std::move(detail) };
    return { { std::move(refusal), m_isAnswerStarted }, end, m_status, m_latency, m_sentAt, m_wasReused };
}

AttemptReport TargetAttempt::acquireFailed(const Error &error) const
{
    const std::string detail = "target " + m_target.id.text() + ": " + error.message;
    if (error.code == ErrorCode::ResourceExhausted) {
        return refuse(AttemptEnd::OwnLimit, RefusalReason::NoCapacity, detail);
    }
    if (error.code == ErrorCode::Cancelled) {
        return refuse(AttemptEnd::CallerEnded, RefusalReason::Cancelled, detail);
    }
    if (m_head.deadline.hasPassed(m_clock.now())) {
        return refuse(AttemptEnd::ConnectFailed, RefusalReason::DeadlinePassed, detail);
    }
    return refuse(AttemptEnd::ConnectFailed, RefusalReason::TargetFailed, detail);
}

AttemptReport TargetAttempt::bodyFailed(const Error &error) const
{
    switch (error.code) {
    case ErrorCode::Timeout:
        return refuse(AttemptEnd::CallerEnded, RefusalReason::DeadlinePassed, error.message);
    case ErrorCode::ResourceExhausted:
        return refuse(AttemptEnd::CallerEnded, RefusalReason::TooLarge, error.message);
    case ErrorCode::DataLoss:
        return refuse(AttemptEnd::CallerEnded, RefusalReason::BadRequest, error.message);
    default:
        return refuse(AttemptEnd::CallerEnded, RefusalReason::Cancelled, error.message);
    }
}

AttemptReport TargetAttempt::connectionFailed(const Error &error)
{
    if (m_connection) {
        if (!m_connection->hasSent()) {
            m_sentAt = {};
        }
        releaseConnection(false);
    } else {
        m_sentAt = {};
        return acquireFailed(error);
    }
    const std::string detail = "target " + m_target.id.text() + ": " + error.message;
    if (m_hasSinkFailed || error.code == ErrorCode::Cancelled) {
        return refuse(AttemptEnd::CallerEnded, RefusalReason::Cancelled, detail);
    }
    const bool hasBegun = m_reader && m_reader->hasBegun();
    if (error.code == ErrorCode::Timeout) {
        return refuse(hasBegun ? AttemptEnd::AnswerCut : AttemptEnd::Silent, RefusalReason::DeadlinePassed, detail);
    }
    if (hasBegun) {
        return refuse(AttemptEnd::AnswerCut, RefusalReason::AnswerCut, detail);
    }
    return refuse(AttemptEnd::ConnectionLost, RefusalReason::TargetFailed, detail);
}

void TargetAttempt::releaseConnection(bool isReusable)
{
    m_target.pool->release(std::move(m_connection), isReusable);
}

} // namespace Sapphire
