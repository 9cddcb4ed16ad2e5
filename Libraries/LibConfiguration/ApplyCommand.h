#pragma once

#include <LibConfiguration/Command.h>
#include <LibCore/Result.h>

namespace Sapphire {

/// A resent command is recognised while fewer changes than this were made since; 7 hours at 3,300 changes a day.
inline constexpr std::uint64_t recentCommandLimit = 1024;

/// Returns the configuration after the command, which becomes the given version. Pure: the result depends on the
/// arguments only. Fails with InvalidArgument, NotFound, or Conflict if the command lost against a later change.
[[nodiscard]] Result<Configuration> applyCommand(const Configuration &before, const Command &command,
                                                 ConfigurationVersion version);

/// Returns the configuration after an entry of the log. An entry that can't be applied changes nothing but the version;
/// every VM decides so from the same data. `skipped` receives the reason, or nothing.
Configuration applyEntry(const Configuration &before, const LogEntry &entry, std::optional<Error> &skipped);

/// Returns the version in which the command took effect, if that was recent.
std::optional<ConfigurationVersion> versionOfCommand(const Configuration &configuration, const CommandId &id);

/// Returns whether the text is an IPv4 prefix "a.b.c.d/bits" without host bits.
bool isAddressPrefix(const std::string &text);
/// Returns whether the text is "a.b.c.d:port".
bool isAddressWithPort(const std::string &text);

} // namespace Sapphire
