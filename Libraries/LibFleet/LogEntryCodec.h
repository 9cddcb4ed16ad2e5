#pragma once

#include <LibConfiguration/Command.h>
#include <LibCore/Result.h>

#include <Fleet.pb.h>

namespace Sapphire {

namespace wire = sapphire::wire;

// Translates between entries of the command log and the messages of Fleet.proto. Decoding fails with InvalidArgument if
// a part is missing or of an unknown kind.

void encode(const LogEntry &entry, wire::LogEntry &message);
[[nodiscard]] Result<LogEntry> decode(const wire::LogEntry &message);

} // namespace Sapphire
