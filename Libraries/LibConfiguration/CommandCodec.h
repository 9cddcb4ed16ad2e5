#pragma once

#include <LibConfiguration/Command.h>
#include <LibCore/Result.h>

#include <string>

namespace Sapphire {

/// Encodes commands as JSON, for rows of the log and for the exchange between VMs, and decodes them.
class CommandCodec
{
public:
    static std::string encode(const Command &command);
    /// Fails with InvalidArgument, naming each missing, unknown or invalid member.
    [[nodiscard]] static Result<Command> decode(const std::string &text);
};

} // namespace Sapphire
