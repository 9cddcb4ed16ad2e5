#pragma once

#include <LibCore/Deadline.h>

namespace Sapphire {

/// Decides when a VM that lacks a list, or a part of it, sends a sync request, and to which VM. After a restart of many
/// VMs, the platform and small VMs could not take it if each VM read the whole list.
class SyncRequestPolicy
{
public:
    /// Which VM to ask.
    enum class Choice {
        Nobody,
        Preferred, ///< The sync peer that is most likely to have the list.
        Other, ///< Any other VM of the region, since the preferred one has not answered.
    };

    /// Returns which VM to ask now, and counts it as asked.
    Choice next(TimePoint now);
    /// The sync peer has nothing to offer now; it may have it soon.
    void noteEmptyAnswer(TimePoint now);
    /// A part of what is missing has arrived, and more may be on its way.
    void noteProgress(TimePoint now);
    /// Nothing is missing any more.
    void reset();

private:
    Deadline m_nextAt;
    int m_unanswered { 0 };
};

} // namespace Sapphire
