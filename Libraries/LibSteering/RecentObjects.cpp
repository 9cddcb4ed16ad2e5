#include <LibSteering/RecentObjects.h>

namespace Sapphire {

void RecentObjects::note(std::uint64_t object, TimePoint now)
{
    const auto found = m_byObject.find(object);
    if (found != m_byObject.end()) {
        found->second->at = now;
        m_entries.splice(m_entries.begin(), m_entries, found->second);
        return;
    }
    m_entries.push_front({ object, now });
    m_byObject.emplace(object, m_entries.begin());
    if (m_entries.size() > m_capacity) {
        m_byObject.erase(m_entries.back().object);
        m_entries.pop_back();
    }
}

TimePoint RecentObjects::lastHandled(std::uint64_t object) const
{
    const auto found = m_byObject.find(object);
    return found == m_byObject.end() ? TimePoint {} : found->second->at;
}

void RecentObjects::clear()
{
    m_entries.clear();
    m_byObject.clear();
}

} // namespace Sapphire
