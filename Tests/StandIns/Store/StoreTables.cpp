#include <StandIns/Store/StoreTables.h>

#include <algorithm>

namespace Sapphire {

void StoreTables::set(const std::string &table, const std::string &key, const std::string &value)
{
    m_tables[table][key] = { key, value, ++m_version, false };
}

void StoreTables::remove(const std::string &table, const std::string &key)
{
    const auto found = m_tables[table].find(key);
    if (found != m_tables[table].end() && !found->second.isRemoved) {
        found->second = { key, "", ++m_version, true };
    }
}

std::vector<StandInRow> StoreTables::rows(const std::string &table, const std::string &from, std::size_t limit) const
{
    std::vector<StandInRow> rows;
    const auto found = m_tables.find(table);
    if (found == m_tables.end()) {
        return rows;
    }
    for (auto row = found->second.lower_bound(from); row != found->second.end() && rows.size() < limit; ++row) {
        if (!row->second.isRemoved) {
            rows.push_back(row->second);
        }
    }
    return rows;
}

std::optional<std::vector<StandInRow>> StoreTables::changesAfter(const std::string &table, std::uint64_t version) const
{
    if (version < m_historyBegin || version > m_version) {
        return std::nullopt;
    }
    std::vector<StandInRow> changes;
    const auto found = m_tables.find(table);
    if (found != m_tables.end()) {
        for (const auto &[key, row] : found->second) {
            if (row.version > version) {
                changes.push_back(row);
            }
        }
    }
    std::sort(changes.begin(), changes.end(), [](const StandInRow &left, const StandInRow &right) {
        return left.version < right.version;
    });
    return changes;
}

} // namespace Sapphire
