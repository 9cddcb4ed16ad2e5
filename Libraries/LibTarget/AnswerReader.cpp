#include <LibTarget/AnswerReader.h>

#include <algorithm>

namespace Sapphire {

namespace {

boost::leaf::error_id malformed(const std::string &detail)
{
    return fail(ErrorCode::DataLoss, "malformed answer: " + detail, Verdict::MayHaveRun);
}

} // namespace

// The buffer stays uninitialized: only bytes that were received are read from it.
// NOLINTNEXTLINE(cppcoreguidelines-pro-type-member-init)
AnswerReader::AnswerReader(TargetConnection &connection, bool isHeadRequest)
    : m_connection(connection), m_parser(HttpParser::Kind::Answer, bufferBytes)
{
    m_parser.begin(isHeadRequest);
}

Result<void> AnswerReader::readHead(const WaitLimit &limit)
{
    while (!m_parser.isHeadComplete()) {
        BOOST_LEAF_CHECK(parseMore(limit));
        m_parser.skipInformational();
    }
    if (m_parser.endsWithConnection()) {
        // A body that is delimited by the end of the connection can't be distinguished from a truncated one.
        return malformed("neither Content-Length nor chunked");
    }
    return {};
}

Result<void> AnswerReader::parseMore(const WaitLimit &limit)
{
    if (m_begin == m_end) {
        BOOST_LEAF_CHECK(receive(limit));
    }
    const Outcome<std::size_t> taken = capture([this] {
        return m_parser.feed({ m_buffer.data() + m_begin, m_end - m_begin });
    });
    if (!taken) {
        return malformed(taken.error().message);
    }
    m_begin += taken.value();
    return {};
}

Result<void> AnswerReader::receive(const WaitLimit &limit)
{
    BOOST_LEAF_AUTO(count, m_connection.receive(m_buffer, limit));
    if (count == 0) {
        return fail(ErrorCode::DataLoss, "the target closed the connection before the answer was complete",
                    Verdict::MayHaveRun);
    }
    m_hasBegun = true;
    m_begin = 0;
    m_end = count;
    return {};
}

Result<std::size_t> AnswerReader::readBody(std::span<char> buffer, const WaitLimit &limit)
{
    while (m_bodyBegin == m_body.size()) {
        m_body = m_parser.takeBody();
        m_bodyBegin = 0;
        if (m_body.empty()) {
            if (m_parser.isComplete()) {
                return std::size_t { 0 };
            }
            BOOST_LEAF_CHECK(parseMore(limit));
        }
    }
    const std::size_t count = std::min(buffer.size(), m_body.size() - m_bodyBegin);
    std::copy_n(m_body.data() + m_bodyBegin, count, buffer.data());
    m_bodyBegin += count;
    return count;
}

bool AnswerReader::isConnectionReusable() const
{
    return m_parser.isComplete() && m_begin == m_end && head().keepsConnection && head().isHttp11;
}

} // namespace Sapphire
