#include <LibSteering/TargetNotices.h>

namespace Sapphire {

namespace {

// More than the targets that leave while a list can be out of date.
constexpr std::size_t mostKept = 4'096;

} // namespace

void TargetNotices::setStart(std::int64_t startedAtMilliseconds)
{
    if (startedAtMilliseconds <= m_startedAtMilliseconds) {
        return;
    }
    m_startedAtMilliseconds = startedAtMilliseconds;
    m_isLeaving = false;
    m_pausedUntil = {};
}

bool TargetNotices::noteLeaving(std::int64_t startedAtMilliseconds)
{
    if (m_isLeaving || startedAtMilliseconds != m_startedAtMilliseconds) {
        return false;
    }
    m_isLeaving = true;
    return true;
}

bool TargetNotices::notePause(std::int64_t startedAtMilliseconds, Deadline until)
{
    if (until <= m_pausedUntil || startedAtMilliseconds != m_startedAtMilliseconds) {
        return false;
    }
    m_pausedUntil = until;
    return true;
}

RefPointer<TargetNotices> UnlistedTargetNotices::take(const TargetId &id, std::int64_t startedAtMilliseconds)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end()) {
        return makeRefCounted<TargetNotices>(startedAtMilliseconds);
    }
    RefPointer<TargetNotices> notices = found->second->second;
    m_kept.erase(found->second);
    m_byId.erase(found);
    notices->setStart(startedAtMilliseconds);
    return notices;
}

void UnlistedTargetNotices::keep(const TargetId &id, const RefPointer<TargetNotices> &notices)
{
    m_byId[id] = m_kept.emplace(m_kept.end(), id, notices);
    if (m_kept.size() > mostKept) {
        m_byId.erase(m_kept.front().first);
        m_kept.pop_front();
    }
}

} // namespace Sapphire
