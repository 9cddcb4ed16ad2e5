#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Result.h>

#include <string>

namespace Sapphire {

struct ConfigurationSnapshot
{
    ConfigurationVersion version;
    std::string text;
};

/// Provides and takes whole configurations as text, for VMs that are too far behind to catch up with the log entries
/// that are kept. Safe to call from any thread.
class SnapshotExchange
{
public:
    virtual ~SnapshotExchange() = default;

    /// Fails with Unavailable if this VM has no configuration yet.
    [[nodiscard]] virtual Result<ConfigurationSnapshot> snapshot() = 0;
    /// Replaces the configuration by the snapshot of another VM if that is newer. Fails with InvalidArgument if the
    /// text is malformed.
    [[nodiscard]] virtual Result<void> takeSnapshot(const ConfigurationSnapshot &snapshot) = 0;
};

} // namespace Sapphire
