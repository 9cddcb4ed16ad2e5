#pragma once

#include <LibConfiguration/Command.h>
#include <LibCore/Result.h>

#include <string>

namespace Sapphire {

/// Turns commands into JSON texts and back, for rows of the log and for the exchange between VMs.
class CommandCodec
{
public:
    static std::string encode(const Command &command);
    /// Fails with InvalidArgument, naming each missing, unknown or faulty member.
    [[nodiscard]] static Result<Command> decode(const std::string &text);
};

} // namespace Sapphire
