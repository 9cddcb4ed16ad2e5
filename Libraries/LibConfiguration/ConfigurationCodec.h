#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibCore/Result.h>

#include <string>

namespace Sapphire {

/// Encodes whole configurations as JSON, for snapshots, and decodes them.
class ConfigurationCodec
{
public:
    static std::string encode(const Configuration &configuration);
    /// Fails with InvalidArgument, naming each missing, unknown or invalid member.
    [[nodiscard]] static Result<Configuration> decode(const std::string &text);
};

} // namespace Sapphire
