#include <LibFleet/PeerRecord.h>

namespace Sapphire {

std::optional<PeerRecord::ItemState> PeerRecord::acknowledged(ItemKey item) const
{
    const auto found = m_acknowledged.find(item);
    if (found == m_acknowledged.end()) {
        return std::nullopt;
    }
    return found->second;
}

void PeerRecord::noteSent(ItemKey item, ItemState state)
{
    m_sent.emplace_back(item, state);
}

void PeerRecord::noteReceived(ItemKey item, ItemState state)
{
    ItemState &held = m_acknowledged[item];
    if (state.at >= held.at) {
        held = state;
    }
}

void PeerRecord::acknowledgeSent()
{
    for (const auto &[item, state] : m_sent) {
        m_acknowledged.insert_or_assign(item, state);
    }
    m_sent.clear();
}

void PeerRecord::discardSent()
{
    m_sent.clear();
}

void PeerRecord::noteProcess(Incarnation incarnation)
{
    if (m_incarnation && *m_incarnation != incarnation) {
        m_acknowledged.clear();
        m_sent.clear();
        wanted.clear();
        sequence = 0;
    }
    m_incarnation = incarnation;
}

void PeerRecord::forgetBefore(TimePoint at)
{
    std::erase_if(m_acknowledged, [&](const auto &item) {
        return item.second.at < at;
    });
}

} // namespace Sapphire
