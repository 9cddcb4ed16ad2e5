#pragma once

#include <LibCore/Result.h>
#include <LibCore/SettingsReader.h>

#include <string>
#include <vector>

namespace Sapphire {

/// One link of the proxy. Names are unique; a common prefix lets a test set the faults of several links at once.
struct LinkSettings
{
    std::string name;
    std::string listen; ///< "ip:port"
    std::string connect; ///< "ip:port"
};

/// Parses {"links":[{"name","listen","connect"}]}. Fails with InvalidArgument and all faults found.
[[nodiscard]] Result<std::vector<LinkSettings>> parseLinks(const std::string &text);

/// Writes the text that parseLinks() reads.
std::string linksText(const std::vector<LinkSettings> &links);

} // namespace Sapphire
