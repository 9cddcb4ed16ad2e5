#include <StandIns/Platform/VmList.h>

#include <algorithm>
#include <utility>

namespace Sapphire {

namespace {

void apply(std::map<std::string, ListedVm> &vms, const VmId &vm, const std::optional<ListedVm> &entry)
{
    if (entry) {
        vms[vm.text()] = *entry;
    } else {
        vms.erase(vm.text());
    }
}

} // namespace

void VmList::setLag(Microseconds lag)
{
    const std::lock_guard guard(m_mutex);
    m_lag = lag;
}

void VmList::put(const ListedVm &vm, TimePoint now)
{
    const std::lock_guard guard(m_mutex);
    change(vm.vm, vm, now);
}

void VmList::remove(const VmId &vm, TimePoint now)
{
    const std::lock_guard guard(m_mutex);
    change(vm, std::nullopt, now);
}

bool VmList::markLeaving(const VmId &vm, TimePoint now)
{
    const std::lock_guard guard(m_mutex);
    const auto found = m_actual.find(vm.text());
    if (found == m_actual.end()) {
        return false;
    }
    ListedVm leaving = found->second;
    leaving.isLeaving = true;
    change(vm, std::move(leaving), now);
    return true;
}

std::vector<ListedVm> VmList::visible(TimePoint now)
{
    const std::lock_guard guard(m_mutex);
    applyDue(now);
    std::vector<ListedVm> vms;
    for (const auto &[id, vm] : m_visible) {
        vms.push_back(vm);
    }
    return vms;
}

void VmList::change(const VmId &vm, std::optional<ListedVm> entry, TimePoint now)
{
    apply(m_actual, vm, entry);
    // A change never overtakes an earlier one, even if the lag was shortened between them.
    TimePoint visibleAt = now + m_lag;
    if (!m_pending.empty()) {
        visibleAt = std::max(visibleAt, m_pending.back().visibleAt.at());
    }
    m_pending.push_back({ Deadline(visibleAt), vm, std::move(entry) });
}

void VmList::applyDue(TimePoint now)
{
    while (!m_pending.empty() && m_pending.front().visibleAt.hasPassed(now)) {
        const Change &due = m_pending.front();
        apply(m_visible, due.vm, due.entry);
        m_pending.pop_front();
    }
}

} // namespace Sapphire
