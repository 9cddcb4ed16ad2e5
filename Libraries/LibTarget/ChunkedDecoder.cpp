#include <LibTarget/ChunkedDecoder.h>

#include <algorithm>

namespace Sapphire {

namespace {

// 15 hexadecimal digits keep the size within 64 bits.
constexpr int mostSizeDigits = 15;
// Limit for the extensions of one chunk, and for the trailer.
constexpr std::size_t mostOverheadBytes = 16384;
constexpr std::uint64_t hexadecimal = 16;

boost::leaf::error_id malformed(const char *detail)
{
    return fail(ErrorCode::DataLoss, std::string("malformed chunk: ") + detail);
}

} // namespace

Result<ChunkedDecoder::Progress> ChunkedDecoder::decode(std::span<const char> input, std::span<char> output)
{
    Progress progress;
    while (progress.consumed < input.size() && !isAtEnd()) {
        if (m_state != State::Data) {
            BOOST_LEAF_CHECK(step(input[progress.consumed]));
            ++progress.consumed;
            continue;
        }
        const std::size_t available = std::min(input.size() - progress.consumed, output.size() - progress.produced);
        const std::size_t count = std::min<std::uint64_t>(available, m_left);
        if (count == 0) {
            return progress;
        }
        std::copy_n(input.data() + progress.consumed, count, output.data() + progress.produced);
        progress.consumed += count;
        progress.produced += count;
        m_left -= count;
        if (m_left == 0) {
            m_state = State::DataEnd;
        }
    }
    return progress;
}

Result<void> ChunkedDecoder::step(char byte)
{
    if (++m_overhead > mostOverheadBytes) {
        return malformed("extensions or trailer too long");
    }
    switch (m_state) {
    case State::Size:
        return parseSizeDigit(byte);
    case State::Extension:
        if (byte == '\r') {
            m_state = State::SizeEnd;
        }
        return {};
    case State::SizeEnd:
        if (byte != '\n') {
            return malformed("size line doesn't end with CRLF");
        }
        return endSizeLine();
    case State::DataEnd:
        if (byte != '\r') {
            return malformed("data longer than the chunk size");
        }
        m_state = State::DataLineEnd;
        return {};
    case State::DataLineEnd:
        if (byte != '\n') {
            return malformed("data doesn't end with CRLF");
        }
        m_state = State::Size;
        m_digits = 0;
        m_overhead = 0;
        return {};
    case State::TrailerStart:
        m_state = byte == '\r' ? State::LastLineEnd : State::TrailerLine;
        return {};
    case State::TrailerLine:
        if (byte == '\r') {
            m_state = State::TrailerLineEnd;
        }
        return {};
    case State::TrailerLineEnd:
        m_state = byte == '\n' ? State::TrailerStart : State::TrailerLine;
        return {};
    case State::LastLineEnd:
        if (byte != '\n') {
            return malformed("trailer doesn't end with CRLF");
        }
        m_state = State::End;
        return {};
    case State::Data:
    case State::End:
        break;
    }
    return malformed("bytes after the end of the body");
}

Result<void> ChunkedDecoder::parseSizeDigit(char byte)
{
    std::uint64_t digit = 0;
    if (byte >= '0' && byte <= '9') {
        digit = static_cast<std::uint64_t>(byte - '0');
    } else if (byte >= 'a' && byte <= 'f') {
        digit = static_cast<std::uint64_t>(byte - 'a') + 10;
    } else if (byte >= 'A' && byte <= 'F') {
        digit = static_cast<std::uint64_t>(byte - 'A') + 10;
    } else if (m_digits > 0 && (byte == ';' || byte == ' ' || byte == '\t')) {
        m_state = State::Extension;
        return {};
    } else if (m_digits > 0 && byte == '\r') {
        m_state = State::SizeEnd;
        return {};
    } else {
        return malformed("size is not hexadecimal");
    }
    if (++m_digits > mostSizeDigits) {
        return malformed("size too large");
    }
    m_left = m_left * hexadecimal + digit;
    return {};
}

Result<void> ChunkedDecoder::endSizeLine()
{
    m_overhead = 0;
    m_state = m_left == 0 ? State::TrailerStart : State::Data;
    return {};
}

} // namespace Sapphire
