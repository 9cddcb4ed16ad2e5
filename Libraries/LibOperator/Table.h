#pragma once

#include <string>
#include <vector>

namespace Sapphire {

/// Rows of text under column names, as an answer to an operator's query.
struct Table
{
    std::vector<std::string> columns {};
    std::vector<std::vector<std::string>> rows {};

    /// Returns the table with aligned columns, a line a row.
    std::string text() const;
};

} // namespace Sapphire
