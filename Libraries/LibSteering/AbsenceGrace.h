#pragma once

#include <LibCore/Deadline.h>

namespace Sapphire {

/// Decides whether a target that is missing from the platform's list is gone. Entries lapse while the store is away,
/// and those of living targets are back soon after its return.
class AbsenceGrace
{
public:
    /// The list could not be read.
    void noteFailure();
    /// The list was read.
    void noteSuccess(TimePoint now);
    /// Whether missing targets are gone.
    bool isOver(TimePoint now) const;

private:
    bool m_isLost { false };
    Deadline m_graceEnd {};
};

} // namespace Sapphire
