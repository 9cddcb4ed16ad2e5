#pragma once

#include <LibConfiguration/ConfigurationKeeper.h>
#include <LibFleet/SnapshotExchange.h>

namespace Sapphire {

/// Provides the configuration keeper's whole configuration to other VMs, and hands theirs to the keeper.
class KeeperSnapshotExchange final : public SnapshotExchange
{
public:
    explicit KeeperSnapshotExchange(ConfigurationKeeper &keeper) : m_keeper(keeper)
    {
    }

    Result<ConfigurationSnapshot> snapshot() override
    {
        const ConfigurationVersion version = m_keeper.configuration()->version;
        if (version == ConfigurationVersion(0)) {
            return fail(ErrorCode::Unavailable, "this VM has no configuration yet");
        }
        return ConfigurationSnapshot { version, m_keeper.snapshot() };
    }
    Result<void> takeSnapshot(const ConfigurationSnapshot &snapshot) override
    {
        return m_keeper.takeSnapshot(snapshot.text);
    }

private:
    ConfigurationKeeper &m_keeper;
};

} // namespace Sapphire
