#include <LibCaller/BufferedBody.h>

#include <algorithm>
#include <array>

namespace Sapphire {

namespace {

constexpr std::size_t pieceBytes = 16'384;

}

BufferedBody::BufferedBody(BodySource &source) : m_source(source)
{
}

Result<void> BufferedBody::fill()
{
    std::array<char, pieceBytes> piece {};
    while (m_buffer.size() < mostBuffered) {
        BOOST_LEAF_AUTO(count,
                        m_source.read(std::span(piece).first(std::min(piece.size(), mostBuffered - m_buffer.size()))));
        if (count == 0) {
            m_isAtEnd = true;
            return {};
        }
        m_buffer.append(piece.data(), count);
    }
    return {};
}

Result<std::size_t> BufferedBody::read(std::span<char> buffer)
{
    if (m_position < m_buffer.size()) {
        const std::size_t count = m_buffer.copy(buffer.data(), buffer.size(), m_position);
        m_position += count;
        return count;
    }
    if (m_isAtEnd) {
        return std::size_t { 0 };
    }
    return m_source.read(buffer);
}

} // namespace Sapphire
