#include <Harness/HttpAnswerReader.h>

#include <Poco/String.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace Sapphire {

namespace {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::size_t statusBegin = 9; // After "HTTP/1.1 ".
constexpr int firstFinalStatus = 200;

boost::leaf::error_id malformed(const std::string &what)
{
    return fail(ErrorCode::DataLoss, "the answer is malformed: " + what, Verdict::MayHaveRun);
}

template<typename Number>
bool parse(std::string_view text, Number &number, int base)
{
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number, base);
    return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

} // namespace

HttpAnswerReader::HttpAnswerReader(bool hasNoBody) : m_hasNoBody(hasNoBody)
{
}

Result<void> HttpAnswerReader::add(std::string_view bytes)
{
    m_buffer += bytes;
    for (;;) {
        BOOST_LEAF_AUTO(hasMore, step());
        if (!hasMore) {
            return {};
        }
    }
}

Result<void> HttpAnswerReader::end()
{
    if (m_state == State::UntilEnd) {
        m_state = State::Complete;
        return {};
    }
    if (m_state == State::Head && m_buffer.empty()) {
        return fail(ErrorCode::Unavailable, "the connection ended before an answer", Verdict::MayHaveRun);
    }
    return fail(ErrorCode::DataLoss, "the answer is truncated", Verdict::MayHaveRun);
}

bool HttpAnswerReader::isComplete() const
{
    return m_state == State::Complete;
}

HttpAnswer HttpAnswerReader::takeAnswer()
{
    return std::move(m_answer);
}

Result<bool> HttpAnswerReader::step()
{
    switch (m_state) {
    case State::Head:
        return takeHead();
    case State::Sized:
        return takeSized();
    case State::UntilEnd:
        m_answer.body += m_buffer;
        m_buffer.clear();
        return false;
    case State::ChunkSize:
        return takeChunkSize();
    case State::Chunk:
        return takeChunk();
    case State::Trailer:
        return takeTrailer();
    case State::Complete:
        break;
    }
    return false;
}

Result<bool> HttpAnswerReader::takeHead()
{
    const std::size_t end = m_buffer.find(headEnd);
    if (end == std::string::npos) {
        return false;
    }
    std::string_view head(m_buffer.data(), end + lineEnd.size());
    const std::string_view statusLine = head.substr(0, head.find(lineEnd));
    m_answer = HttpAnswer();
    if (!statusLine.starts_with("HTTP/1.")
        || !parse(statusLine.substr(std::min(statusBegin, statusLine.size())).substr(0, 3), m_answer.status, 10)) {
        return malformed("status line " + std::string(statusLine));
    }
    head.remove_prefix(statusLine.size() + lineEnd.size());
    while (!head.empty()) {
        const std::string line(head.substr(0, head.find(lineEnd)));
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            return malformed("header line " + line);
        }
        m_answer.headers.emplace_back(line.substr(0, colon), Poco::trim(line.substr(colon + 1)));
        head.remove_prefix(line.size() + lineEnd.size());
    }
    m_buffer.erase(0, end + headEnd.size());
    if (m_answer.status >= firstFinalStatus) {
        BOOST_LEAF_CHECK(startBody());
    }
    return true;
}

Result<void> HttpAnswerReader::startBody()
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    const auto length = m_answer.header("Content-Length");
    if (m_hasNoBody || m_answer.status == noContent || m_answer.status == notModified) {
        m_state = State::Complete;
    } else if (Poco::icompare(m_answer.header("Transfer-Encoding").value_or(""), "chunked") == 0) {
        m_state = State::ChunkSize;
    } else if (length) {
        m_state = State::Sized;
        if (!parse(*length, m_bytesRemaining, 10)) {
            return malformed("Content-Length " + *length);
        }
    } else {
        m_state = State::UntilEnd;
    }
    return {};
}

Result<bool> HttpAnswerReader::takeSized()
{
    const std::size_t count = std::min(m_bytesRemaining, m_buffer.size());
    m_answer.body.append(m_buffer, 0, count);
    m_buffer.erase(0, count);
    m_bytesRemaining -= count;
    if (m_bytesRemaining == 0) {
        m_state = State::Complete;
    }
    return false;
}

Result<bool> HttpAnswerReader::takeChunkSize()
{
    const std::size_t end = m_buffer.find(lineEnd);
    if (end == std::string::npos) {
        return false;
    }
    const std::string line = m_buffer.substr(0, end);
    if (!parse(std::string_view(line).substr(0, line.find(';')), m_bytesRemaining, 16)) {
        return malformed("chunk size " + line);
    }
    m_buffer.erase(0, end + lineEnd.size());
    m_state = m_bytesRemaining > 0 ? State::Chunk : State::Trailer;
    return true;
}

Result<bool> HttpAnswerReader::takeChunk()
{
    if (m_buffer.size() < m_bytesRemaining + lineEnd.size()) {
        return false;
    }
    if (m_buffer.compare(m_bytesRemaining, lineEnd.size(), lineEnd) != 0) {
        return malformed("chunk without an end");
    }
    m_answer.body.append(m_buffer, 0, m_bytesRemaining);
    m_buffer.erase(0, m_bytesRemaining + lineEnd.size());
    m_state = State::ChunkSize;
    return true;
}

Result<bool> HttpAnswerReader::takeTrailer()
{
    const std::size_t end = m_buffer.find(lineEnd);
    if (end == std::string::npos) {
        return false;
    }
    m_buffer.erase(0, end + lineEnd.size());
    if (end == 0) {
        m_state = State::Complete;
    }
    return end != 0;
}

} // namespace Sapphire
