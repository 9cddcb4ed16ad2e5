#pragma once

#include <LibConfiguration/ConfigurationKeeper.h>
#include <LibFleet/SnapshotExchange.h>

namespace Sapphire {

/// Gives whole configurations to other VMs and takes theirs.
class KeeperSnapshots final : public SnapshotExchange
{
public:
    explicit KeeperSnapshots(ConfigurationKeeper &keeper) : m_keeper(keeper)
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
