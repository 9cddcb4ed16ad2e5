#pragma once

#include <LibConfiguration/Roster.h>

namespace Sapphire {

/// A roster whose VMs a test sets directly.
class FakeRoster final : public Roster
{
public:
    std::vector<RosterVm> vms(TimePoint) const override
    {
        return m_vms;
    }
    std::set<VmId> listedVms() const override
    {
        std::set<VmId> listed;
        for (const RosterVm &vm : m_vms) {
            listed.insert(vm.process.vm);
        }
        return listed;
    }
    void add(const VmIncarnation &process, const Locality &locality)
    {
        RosterVm vm;
        vm.process = process;
        vm.locality = locality;
        vm.endpoints = { "127.0.0.1", 1, 2 };
        m_vms.push_back(vm);
    }

private:
    std::vector<RosterVm> m_vms;
};

} // namespace Sapphire
