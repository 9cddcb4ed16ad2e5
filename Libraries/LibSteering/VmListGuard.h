#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/SourceRevision.h>
#include <LibSteering/VmRecord.h>

#include <map>
#include <vector>

namespace Sapphire {

/// Keeps the VMs that the platform has lost in a return from an older copy until they have entered again, so that
/// nobody takes their share of a limit meanwhile. A VM that never does is kept for a limited time.
class VmListGuard
{
public:
    /// Takes the list that was read in an epoch and returns the VMs that count as registered.
    std::vector<VmRecord> take(const std::vector<VmRecord> &records, SourceEpoch epoch, TimePoint now);

private:
    SourceEpoch m_epoch;
    std::map<VmId, VmRecord> m_registered; ///< As last returned.
    std::map<VmId, VmRecord> m_kept; ///< Lost by the platform, and not registered since.
    Deadline m_keptUntil;
};

} // namespace Sapphire
