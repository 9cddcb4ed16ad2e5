#pragma once

#include <LibCore/Ids.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace Sapphire {

struct HeartbeatSettings
{
    /// Most VMs that get one heartbeat.
    std::size_t mostReceivers { 48 };
    /// Of these, VMs that get every heartbeat and report to the others when none comes. The rest get one in turn.
    std::size_t watchers { 16 };
};

/// Chooses the VMs of a region that get each heartbeat of this VM. If each VM sent to all others, the messages in a
/// large region would grow with the square of its VMs. Up to `mostReceivers` other VMs all get every heartbeat. A
/// larger region forms a ring in an order that all its VMs know, and each VM is watched by those that follow it.
class HeartbeatPlan
{
public:
    /// A VM and the hash of its id.
    struct Member
    {
        VmId vm;
        std::uint64_t hash { 0 };
    };

    HeartbeatPlan(VmId own, HeartbeatSettings settings) : m_own(std::move(own)), m_settings(settings)
    {
    }

    /// Sets the VMs of the region. This VM has its position in the ring whether or not it is among them.
    void setMembers(std::vector<Member> members);
    /// Returns the VMs that get the next heartbeat.
    std::vector<VmId> nextReceivers();
    /// Whether this VM gets every heartbeat of the other one.
    bool isWatching(const VmId &vm) const
    {
        return m_isForAll || m_watched.contains(vm);
    }
    /// Whether other VMs depend on this one to learn that a VM is silent.
    bool needsReports() const
    {
        return !m_isForAll;
    }
    /// Returns after how many heartbeats of a VM this one gets the next: 1 if it gets all.
    std::size_t heartbeatsBetween(const VmId &vm) const
    {
        return isWatching(vm) ? 1 : m_rounds;
    }

private:
    VmId m_own;
    HeartbeatSettings m_settings;
    std::vector<VmId> m_followers; ///< The other VMs in the order of the ring, beginning after this one.
    std::set<VmId> m_watched; ///< VMs whose every heartbeat this one gets.
    bool m_isForAll { true };
    std::size_t m_rounds { 1 };
    std::size_t m_next { 0 }; ///< The position among the VMs that get a heartbeat in turn.
};

} // namespace Sapphire
