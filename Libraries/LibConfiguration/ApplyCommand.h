#pragma once

#include <LibConfiguration/Command.h>
#include <LibCore/Result.h>

namespace Sapphire {

/// A resent command is recognised as long as fewer than this many changes followed it: 7 hours at 3,300 changes a day.
inline constexpr std::uint64_t recentCommandLimit = 1024;

/// Returns the configuration with the command applied and with the given version. A pure function of its arguments.
/// Fails with InvalidArgument or NotFound, or with Conflict if a change that was made before rules the command out,
/// such as one of the same object after the version that the operator had seen.
[[nodiscard]] Result<Configuration> applyCommand(const Configuration &before, const Command &command,
                                                 ConfigurationVersion version);

/// Returns the configuration with a log entry applied. An entry that can't be applied changes only the version; as
/// every VM decides from the same data, all skip the same entries. `skipped` receives the reason, or is reset.
Configuration applyEntry(const Configuration &before, const LogEntry &entry, std::optional<Error> &skipped);

/// Returns the version in which the command took effect, if it is among the last `recentCommandLimit` versions.
std::optional<ConfigurationVersion> versionOfCommand(const Configuration &configuration, const CommandId &id);

/// Returns whether the text is an IPv4 prefix "a.b.c.d/bits" without host bits.
bool isAddressPrefix(const std::string &text);
/// Returns whether the text is "a.b.c.d:port".
bool isAddressWithPort(const std::string &text);

} // namespace Sapphire
