#pragma once

#include <LibCore/Result.h>
#include <LibCore/SettingsReader.h>

#include <string>
#include <vector>

namespace Sapphire {

/// A link of the proxy: an address that it listens on, and the server address to which it forwards connections. Names
/// are unique; a common prefix lets a test set the faults of several links at once.
struct LinkSettings
{
    std::string name;
    std::string listen; ///< "ip:port"
    std::string connect; ///< "ip:port"
};

/// Parses {"links":[{"name","listen","connect"}]}. Fails with InvalidArgument and all errors found.
[[nodiscard]] Result<std::vector<LinkSettings>> parseLinks(const std::string &text);

/// Writes the text that parseLinks() reads.
std::string linksText(const std::vector<LinkSettings> &links);

} // namespace Sapphire
