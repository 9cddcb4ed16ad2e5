#pragma once

#include <LibCore/Deadline.h>

namespace Sapphire {

/// Decides when a VM that lacks a list, or a part of it, asks other VMs. Answers restarts of many VMs at once, whose
/// readings of the whole list would be more than the platform and small VMs can take.
class SyncRequestPolicy
{
public:
    /// Whom to ask.
    enum class Choice {
        Nobody,
        Preferred, ///< The VM that knows best.
        Other, ///< Any other VM of the region, since the usual one has not answered.
    };

    /// Returns whom to ask now, and counts it as asked.
    Choice next(TimePoint now);
    /// The VM that was asked has nothing itself; it may have it soon.
    void noteEmptyAnswer(TimePoint now);
    /// A part of what was lacking has come, and more may be on its way.
    void noteProgress(TimePoint now);
    /// Nothing is lacking any more.
    void reset();

private:
    Deadline m_nextAt;
    int m_unanswered { 0 };
};

} // namespace Sapphire
