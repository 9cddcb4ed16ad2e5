#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/Roster.h>

#include <optional>

namespace Sapphire {

/// How long a VM must be missing from the platform's list before its process is retired.
inline constexpr Microseconds retirementGrace { 10'000'000 };
/// The same for a VM that has never been in the list; longer, because the list lags behind the start of a VM.
inline constexpr Microseconds unlistedGrace { 60'000'000 };

/// Finds the processes to retire: those whose VMs are missing from the platform's list. The time is passed in. Not safe
/// to share between threads.
class RetirementMonitor
{
public:
    /// Updates the monitored processes from the roster, and since when each has been missing from the list.
    void observe(const std::vector<RosterVm> &vms, const std::set<VmId> &listed, TimePoint now);
    /// Adds a process that may not be in any VM's roster, such as the holder of an allotment.
    void note(const VmIncarnation &process, TimePoint now);
    /// Returns the processes that this VM should retire now. The VMs act one after the other, in an order that depends
    /// on the process, so that usually only one VM writes.
    std::vector<VmIncarnation> due(const VmId &self, const Configuration &configuration, TimePoint now) const;

private:
    struct TrackedProcess
    {
        Incarnation incarnation;
        bool wasListed { false };
        std::optional<TimePoint> missingSince;
    };

    std::map<VmId, TrackedProcess> m_processes;
    std::set<VmId> m_listed;
    std::optional<TimePoint> m_lastObservation;
};

/// Returns how many of the VMs come before this one in the rendezvous order for the key.
std::size_t rankOf(const VmId &self, const std::set<VmId> &vms, const std::string &key);

} // namespace Sapphire
