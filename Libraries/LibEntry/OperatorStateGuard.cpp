#include <LibEntry/OperatorStateGuard.h>

#include <algorithm>
#include <iterator>

namespace Sapphire {

namespace {

// The operators write again what the platform has lost within this time after its return.
constexpr Milliseconds rewriteTime { 10'000 };

} // namespace

OperatorState OperatorStateGuard::take(const OperatorState &state, TimePoint now)
{
    if (state.revision.epoch() > m_epoch) {
        keepLostZones(state, now);
        m_epoch = state.revision.epoch();
    }
    for (const AvailabilityZoneId &zone : state.evacuatedZones) {
        m_keptZones.erase(zone);
    }
    if (m_rewriteDeadline.hasPassed(now)) {
        m_keptZones.clear();
    }
    OperatorState inForce = state;
    inForce.evacuatedZones.insert(m_keptZones.begin(), m_keptZones.end());
    m_zones = inForce.evacuatedZones;
    const ConfigurationVersion version = state.rules ? state.rules->version() : ConfigurationVersion();
    m_isConfigurationLost = version < m_newestConfiguration;
    m_newestConfiguration = std::max(m_newestConfiguration, version);
    return inForce;
}

void OperatorStateGuard::keepLostZones(const OperatorState &state, TimePoint now)
{
    m_keptZones.clear();
    std::set_difference(m_zones.begin(), m_zones.end(), state.evacuatedZones.begin(), state.evacuatedZones.end(),
                        std::inserter(m_keptZones, m_keptZones.end()));
    m_rewriteDeadline = Deadline::after(now, rewriteTime);
}

} // namespace Sapphire
