#pragma once

#include <LibCore/Ids.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace Sapphire {

struct HeartbeatSettings
{
    /// VMs that get a heartbeat, at most.
    std::size_t mostReceivers { 48 };
    /// Of these, VMs that get each heartbeat and tell the others when none comes. The rest get one in turn.
    std::size_t watchers { 16 };
};

/// Decides which VMs of a region hear from this one with each heartbeat. Answers the load of a large region: if each VM
/// told all others, messages would grow with the square of its VMs. Up to `mostReceivers` other VMs all hear each
/// heartbeat. In a larger region the VMs stand in a ring, in an order that all of them know; those that follow a VM
/// watch it.
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

    /// Takes all VMs of the region. This VM takes its place in the ring whether or not it is among them.
    void setMembers(std::vector<Member> members);
    /// Returns the VMs that get the next heartbeat.
    std::vector<VmId> nextReceivers();
    /// Whether this VM gets each heartbeat of the other one.
    bool isWatching(const VmId &vm) const
    {
        return m_isForAll || m_watched.contains(vm);
    }
    /// Whether other VMs learn from this one that a VM is silent.
    bool needsReports() const
    {
        return !m_isForAll;
    }
    /// Returns how many heartbeats of a VM go by until this one gets the next: 1 if it gets each.
    std::size_t heartbeatsBetween(const VmId &vm) const
    {
        return isWatching(vm) ? 1 : m_rounds;
    }

private:
    VmId m_own;
    HeartbeatSettings m_settings;
    std::vector<VmId> m_followers; ///< The other VMs in the order of the ring, beginning behind this one.
    std::set<VmId> m_watched; ///< VMs that this one follows closely.
    bool m_isForAll { true };
    std::size_t m_rounds { 1 };
    std::size_t m_next { 0 }; ///< The position among the VMs that get a heartbeat in turn.
};

} // namespace Sapphire
