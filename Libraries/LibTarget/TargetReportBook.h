#pragma once

#include <LibCore/Clock.h>
#include <LibSteering/TargetReport.h>

#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace Sapphire {

/// The newest observation of each target by each observer, as far as it is recent. Safe to use from any thread.
class TargetReportBook
{
public:
    /// Takes an observation. Returns whether it is newer than the one held.
    bool take(const TargetReport &report);
    std::vector<TargetReport> reports(TimePoint now) const;
    /// Drops observations that are no longer recent.
    void expire(TimePoint now);

private:
    mutable std::mutex m_mutex;
    std::map<std::pair<TargetId, VmId>, TargetReport> m_reports;
};

} // namespace Sapphire
