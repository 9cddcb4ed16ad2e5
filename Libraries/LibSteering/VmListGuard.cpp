#include <LibSteering/VmListGuard.h>

namespace Sapphire {

namespace {

// Longer than the time between two regular reads of the list, so that a VM is found registered again before.
constexpr Milliseconds longestAbsence { 60'000 };

} // namespace

std::vector<VmRecord> VmListGuard::take(const std::vector<VmRecord> &records, SourceEpoch epoch, TimePoint now)
{
    if (epoch > m_epoch) {
        m_epoch = epoch;
        m_kept = m_registered;
        m_keptUntil = Deadline::after(now, longestAbsence);
    }
    if (m_keptUntil.hasPassed(now)) {
        m_kept.clear();
    }
    m_registered.clear();
    for (const VmRecord &record : records) {
        m_kept.erase(record.vm);
        m_registered.emplace(record.vm, record);
    }
    m_registered.insert(m_kept.begin(), m_kept.end());
    std::vector<VmRecord> registered;
    registered.reserve(m_registered.size());
    for (const auto &[vm, record] : m_registered) {
        registered.push_back(record);
    }
    return registered;
}

} // namespace Sapphire
