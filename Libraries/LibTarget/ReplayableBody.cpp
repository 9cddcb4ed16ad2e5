#include <LibTarget/ReplayableBody.h>

#include <algorithm>

namespace Sapphire {

namespace {

constexpr std::size_t pieceBytes = 16384;

}

void ReplayableBody::prefetch(std::size_t leastBytes)
{
    const std::size_t wanted = std::min(leastBytes, mostKeptBytes - pieceBytes);
    std::string piece(wanted > 0 ? pieceBytes : 0, '\0');
    while (m_kept.size() < wanted && !m_isAtEnd) {
        const Outcome<std::size_t> outcome = capture([&] {
            return readSource(piece);
        });
        if (!outcome) {
            return;
        }
        m_kept.append(piece, 0, outcome.value());
    }
}

Result<std::size_t> ReplayableBody::read(std::span<char> buffer)
{
    if (m_position < m_kept.size()) {
        const std::size_t count = std::min(buffer.size(), m_kept.size() - m_position);
        std::copy_n(m_kept.data() + m_position, count, buffer.data());
        m_position += count;
        return count;
    }
    BOOST_LEAF_AUTO(count, readSource(buffer));
    if (m_kept.size() + count <= mostKeptBytes && !m_hasOverflowed) {
        m_kept.append(buffer.data(), count);
        m_position = m_kept.size();
    } else {
        m_hasOverflowed = true;
    }
    return count;
}

Result<std::size_t> ReplayableBody::readSource(std::span<char> buffer)
{
    if (m_error) {
        return fail(*m_error);
    }
    if (m_isAtEnd) {
        return std::size_t { 0 };
    }
    const Outcome<std::size_t> outcome = capture([&] {
        return m_source.read(buffer);
    });
    if (!outcome) {
        m_error = outcome.error();
        return fail(*m_error);
    }
    m_isAtEnd = outcome.value() == 0;
    return outcome.value();
}

} // namespace Sapphire
