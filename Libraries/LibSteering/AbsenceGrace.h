#pragma once

#include <LibCore/Deadline.h>

namespace Sapphire {

/// Grace period for targets that are missing from the platform's list. Entries expire while the store is unavailable,
/// and targets that still run reappear shortly after it returns, so a missing target counts as removed only when the
/// grace period is over.
class AbsenceGrace
{
public:
    /// The list could not be read.
    void noteFailure();
    /// The list was read.
    void noteSuccess(TimePoint now);
    /// Whether missing targets count as removed.
    bool isOver(TimePoint now) const;

private:
    bool m_hasReadFailed { false };
    Deadline m_graceEnd {};
};

} // namespace Sapphire
