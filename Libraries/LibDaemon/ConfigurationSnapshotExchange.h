#pragma once

#include <LibConfiguration/ConfigurationManager.h>
#include <LibFleet/SnapshotExchange.h>

namespace Sapphire {

/// Provides this VM's whole configuration to other VMs, and hands theirs to the configuration manager.
class ConfigurationSnapshotExchange final : public SnapshotExchange
{
public:
    explicit ConfigurationSnapshotExchange(ConfigurationManager &manager) : m_configurationManager(manager)
    {
    }

    Result<ConfigurationSnapshot> snapshot() override
    {
        const ConfigurationVersion version = m_configurationManager.configuration()->version;
        if (version == ConfigurationVersion(0)) {
            return fail(ErrorCode::Unavailable, "this VM has no configuration yet");
        }
        return ConfigurationSnapshot { version, m_configurationManager.snapshot() };
    }
    Result<void> takeSnapshot(const ConfigurationSnapshot &snapshot) override
    {
        return m_configurationManager.takeSnapshot(snapshot.text);
    }

private:
    ConfigurationManager &m_configurationManager;
};

} // namespace Sapphire
