#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibCore/Result.h>

#include <string>

namespace Sapphire {

/// Turns whole configurations into JSON texts and back, for snapshots.
class ConfigurationCodec
{
public:
    static std::string encode(const Configuration &configuration);
    /// Fails with InvalidArgument, naming each missing, unknown or faulty member.
    [[nodiscard]] static Result<Configuration> decode(const std::string &text);
};

} // namespace Sapphire
