#pragma once

#include <LibCore/Clock.h>
#include <LibSteering/TargetReport.h>

#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace Sapphire {

/// Holds the newest report of each target by each observer, for 10 seconds. Safe to use from any thread.
class RecentTargetReports
{
public:
    /// Takes a report. Returns whether it is newer than the stored one.
    bool take(const TargetReport &report);
    std::vector<TargetReport> reports(TimePoint now) const;
    /// Drops reports that are no longer recent.
    void expire(TimePoint now);

private:
    mutable std::mutex m_mutex;
    std::map<std::pair<TargetId, VmId>, TargetReport> m_reports;
};

} // namespace Sapphire
