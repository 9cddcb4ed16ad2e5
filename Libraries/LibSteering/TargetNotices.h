#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibCore/RefCounted.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <utility>

namespace Sapphire {

/// What a target has told this VM about its use: that it is leaving, or until when it wants no requests. A notice holds
/// for one incarnation of the target, which its start time tells from others with the same id.
class TargetNotices final : public RefCounted<TargetNotices>
{
public:
    explicit TargetNotices(std::int64_t startedAtMilliseconds) : m_startedAtMilliseconds(startedAtMilliseconds)
    {
    }

    /// The target was started at the given Unix time. Drops the notices of an earlier incarnation.
    void setStart(std::int64_t startedAtMilliseconds);
    /// The incarnation that was started at the given Unix time is leaving. Returns whether that is news.
    bool noteLeaving(std::int64_t startedAtMilliseconds);
    /// The incarnation that was started at the given Unix time wants no requests until a deadline; an earlier one than
    /// that of the last notice changes nothing. Returns whether that is news.
    bool notePause(std::int64_t startedAtMilliseconds, Deadline until);

    bool isLeaving() const
    {
        return m_isLeaving;
    }
    bool isPaused(TimePoint now) const
    {
        return !m_pausedUntil.hasPassed(now);
    }
    /// When the target takes requests again; in the past if it hasn't asked for a pause.
    Deadline pausedUntil() const
    {
        return m_pausedUntil;
    }

private:
    std::int64_t m_startedAtMilliseconds;
    bool m_isLeaving { false };
    Deadline m_pausedUntil;
};

/// Keeps the notices of targets that are no longer listed. A list that is out of date may show a target again which
/// has said that it is leaving.
class UnlistedTargetNotices
{
public:
    /// Returns the notices of a target that becomes listed: those that were kept, or new ones.
    RefPointer<TargetNotices> take(const TargetId &id, std::int64_t startedAtMilliseconds);
    /// The target is no longer listed. Drops the oldest notices if there are too many.
    void keep(const TargetId &id, const RefPointer<TargetNotices> &notices);

    std::size_t size() const
    {
        return m_kept.size();
    }

private:
    using Kept = std::list<std::pair<TargetId, RefPointer<TargetNotices>>>;

    Kept m_kept; ///< The oldest is first.
    std::unordered_map<TargetId, Kept::iterator> m_byId;
};

} // namespace Sapphire
