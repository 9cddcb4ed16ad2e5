#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/Roster.h>

#include <optional>

namespace Sapphire {

/// How long the platform's list must lack a VM before its process is retired.
inline constexpr Microseconds retirementGrace { 10'000'000 };
/// The same for a process whose VM was never seen in the list: the list lags behind a start.
inline constexpr Microseconds unlistedGrace { 60'000'000 };

/// Finds processes to retire: those that the platform's list no longer shows. Time is an argument; not safe to share
/// between threads.
class RetirementWatch
{
public:
    void observe(const std::vector<RosterVm> &vms, const std::set<VmId> &listed, TimePoint now);
    /// Takes note of a process that no other VM may have heard of, such as the holder of an allotment.
    void note(const VmIncarnation &process, TimePoint now);
    /// Returns the processes that this VM should retire now. VMs act one after the other, in an order that differs from
    /// process to process, so that usually only one of them writes.
    std::vector<VmIncarnation> due(const VmId &self, const Configuration &configuration, TimePoint now) const;

private:
    struct Watched
    {
        Incarnation incarnation;
        bool wasListed { false };
        std::optional<TimePoint> missingSince;
    };

    std::map<VmId, Watched> m_processes;
    std::set<VmId> m_listed;
    std::optional<TimePoint> m_lastObservation;
};

/// Returns how many of the VMs come before this one in the order in which they act on a matter.
std::size_t rankOf(const VmId &self, const std::set<VmId> &vms, const std::string &matter);

} // namespace Sapphire
