#include <LibSteering/HeartbeatPlan.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace Sapphire {

void HeartbeatPlan::setMembers(std::vector<Member> members)
{
    std::erase_if(members, [this](const Member &member) {
        return member.vm == m_own;
    });
    const auto isBefore = [](const Member &left, const Member &right) {
        return std::tie(left.hash, left.vm) < std::tie(right.hash, right.vm);
    };
    std::sort(members.begin(), members.end(), isBefore);
    const Member own { m_own, stableHash(m_own.text()) };
    std::rotate(members.begin(), std::upper_bound(members.begin(), members.end(), own, isBefore), members.end());

    m_followers.clear();
    m_followers.reserve(members.size());
    for (Member &member : members) {
        m_followers.push_back(std::move(member.vm));
    }
    m_isForAll = m_followers.size() <= m_settings.mostReceivers;
    m_watched.clear();
    m_rounds = 1;
    if (m_isForAll) {
        return;
    }
    m_watched.insert(m_followers.end() - static_cast<std::ptrdiff_t>(m_settings.watchers), m_followers.end());
    const std::size_t inTurn = m_settings.mostReceivers - m_settings.watchers;
    m_rounds = (m_followers.size() - m_settings.watchers + inTurn - 1) / inTurn;
}

std::vector<VmId> HeartbeatPlan::nextReceivers()
{
    if (m_isForAll) {
        return m_followers;
    }
    const auto firstInTurn = m_followers.begin() + static_cast<std::ptrdiff_t>(m_settings.watchers);
    const auto count = static_cast<std::size_t>(m_followers.end() - firstInTurn);
    std::vector<VmId> receivers(m_followers.begin(), firstInTurn);
    for (std::size_t i = m_settings.watchers; i < m_settings.mostReceivers; ++i) {
        m_next = (m_next + 1) % count;
        receivers.push_back(firstInTurn[static_cast<std::ptrdiff_t>(m_next)]);
    }
    return receivers;
}

} // namespace Sapphire
