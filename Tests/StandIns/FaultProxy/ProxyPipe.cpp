#include <StandIns/FaultProxy/ProxyPipe.h>

#include <algorithm>

namespace Sapphire {

namespace {

// More than 4 Gbit/s times 20 ms, so that the largest delay that tests use does not limit the throughput.
constexpr std::size_t capacity = std::size_t { 16 } * 1024 * 1024;

} // namespace

void ProxyPipe::push(std::string_view bytes, TimePoint release)
{
    if (m_isSilent || bytes.empty()) {
        return;
    }
    m_pieces.push_back({ std::string(bytes), release });
    m_queued += bytes.size();
}

void ProxyPipe::pushEnd(StreamEnd end, TimePoint release)
{
    m_end = end;
    m_endRelease = release;
}

void ProxyPipe::silence()
{
    m_isSilent = true;
    m_pieces.clear();
    m_offset = 0;
    m_queued = 0;
}

bool ProxyPipe::isFull() const
{
    return m_queued >= capacity;
}

bool ProxyPipe::isSilent() const
{
    return m_isSilent;
}

bool ProxyPipe::hasEnd() const
{
    return m_end.has_value();
}

bool ProxyPipe::isDone() const
{
    return m_isEndTaken || (m_isSilent && m_end);
}

std::string_view ProxyPipe::dueBytes(TimePoint now) const
{
    if (m_pieces.empty() || m_pieces.front().release > now) {
        return {};
    }
    return std::string_view(m_pieces.front().bytes).substr(m_offset);
}

void ProxyPipe::consume(std::size_t count)
{
    m_offset += count;
    m_queued -= count;
    if (m_offset == m_pieces.front().bytes.size()) {
        m_pieces.pop_front();
        m_offset = 0;
    }
}

std::optional<StreamEnd> ProxyPipe::takeDueEnd(TimePoint now)
{
    if (m_isSilent || m_isEndTaken || !m_end || !m_pieces.empty() || m_endRelease > now) {
        return std::nullopt;
    }
    m_isEndTaken = true;
    return m_end;
}

std::optional<TimePoint> ProxyPipe::nextRelease() const
{
    if (!m_pieces.empty()) {
        return m_pieces.front().release;
    }
    if (m_end && !m_isEndTaken && !m_isSilent) {
        return m_endRelease;
    }
    return std::nullopt;
}

} // namespace Sapphire
