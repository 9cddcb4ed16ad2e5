#include <LibNet/OutputBuffer.h>

namespace Sapphire {

namespace {

// Less than this is neither moved nor given back, since that costs more than the memory is worth.
constexpr std::size_t smallBytes = 65'536;

} // namespace

void OutputBuffer::append(std::string_view bytes)
{
    m_bytes.append(bytes);
}

void OutputBuffer::consume(std::size_t count)
{
    m_begin += count;
    if (isEmpty()) {
        clear();
    } else if (m_begin >= smallBytes && m_begin >= size()) {
        // Moves no more bytes than have been consumed since the last time.
        m_bytes.erase(0, m_begin);
        m_begin = 0;
    }
}

void OutputBuffer::clear()
{
    m_bytes.clear();
    m_begin = 0;
    if (m_bytes.capacity() > smallBytes) {
        m_bytes.shrink_to_fit();
    }
}

} // namespace Sapphire
