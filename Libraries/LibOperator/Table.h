#pragma once

#include <string>
#include <vector>

namespace Sapphire {

/// A table of texts with named columns, such as the answer to an operator's query.
struct Table
{
    std::vector<std::string> columns {};
    std::vector<std::vector<std::string>> rows {};

    /// Returns the table with aligned columns, one line per row.
    std::string text() const;
};

} // namespace Sapphire
