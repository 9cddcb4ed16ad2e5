#include <LibTarget/RecentTargetReports.h>

namespace Sapphire {

namespace {

constexpr Milliseconds reportLifetime { 10'000 };

} // namespace

bool RecentTargetReports::take(const TargetReport &report)
{
    const std::lock_guard guard(m_mutex);
    TargetReport &newest = m_reports[{ report.target, report.observer }];
    if (report.observedAt <= newest.observedAt) {
        return false;
    }
    newest = report;
    return true;
}

std::vector<TargetReport> RecentTargetReports::reports(TimePoint now) const
{
    const std::lock_guard guard(m_mutex);
    std::vector<TargetReport> recent;
    for (const auto &[key, report] : m_reports) {
        if (now - report.observedAt < reportLifetime) {
            recent.push_back(report);
        }
    }
    return recent;
}

void RecentTargetReports::expire(TimePoint now)
{
    const std::lock_guard guard(m_mutex);
    std::erase_if(m_reports, [now](const auto &entry) {
        return now - entry.second.observedAt >= reportLifetime;
    });
}

} // namespace Sapphire
