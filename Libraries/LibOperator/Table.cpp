#include <LibOperator/Table.h>

#include <algorithm>

namespace Sapphire {

namespace {

void appendRow(std::string &text, const std::vector<std::string> &cells, const std::vector<std::size_t> &widths)
{
    for (std::size_t column = 0; column < cells.size(); ++column) {
        text += cells[column];
        if (column + 1 < cells.size()) {
            text += std::string(widths[column] - cells[column].size() + 2, ' ');
        }
    }
    text += '\n';
}

} // namespace

std::string Table::text() const
{
    std::vector<std::size_t> widths;
    widths.reserve(columns.size());
    for (const std::string &column : columns) {
        widths.push_back(column.size());
    }
    for (const std::vector<std::string> &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    appendRow(text, columns, widths);
    for (const std::vector<std::string> &row : rows) {
        appendRow(text, row, widths);
    }
    return text;
}

} // namespace Sapphire
