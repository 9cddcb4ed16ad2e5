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

/// Whole configurations as text, for VMs that are further behind than the log entries that are kept.
/// Safe to call from any thread.
class SnapshotExchange
{
public:
    virtual ~SnapshotExchange() = default;

    /// Fails with Unavailable if this VM has no configuration yet.
    [[nodiscard]] virtual Result<ConfigurationSnapshot> snapshot() = 0;
    /// Takes a snapshot of another VM; one that is not newer than the own configuration is ignored.
    /// Fails with InvalidArgument if the text is malformed.
    [[nodiscard]] virtual Result<void> takeSnapshot(const ConfigurationSnapshot &snapshot) = 0;
};

} // namespace Sapphire
