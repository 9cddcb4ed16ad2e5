#include <StandIns/Platform/PlatformState.h>

#include <utility>

namespace Sapphire {

std::optional<Row> PlatformState::read(const TableName &table, const std::string &key) const
{
    const std::lock_guard guard(m_mutex);
    const Row *row = find(table, key);
    return row != nullptr ? std::optional(*row) : std::nullopt;
}

std::vector<Row> PlatformState::list(const TableName &table, const std::string &after, std::size_t limit) const
{
    const std::lock_guard guard(m_mutex);
    std::vector<Row> rows;
    const auto found = m_tables.find(table);
    if (found == m_tables.end()) {
        return rows;
    }
    for (auto row = found->second.upper_bound(after); row != found->second.end() && rows.size() < limit; ++row) {
        rows.push_back(row->second);
    }
    return rows;
}

TransactionOutcome PlatformState::apply(const std::vector<RowWrite> &writes)
{
    const std::lock_guard guard(m_mutex);
    TransactionOutcome outcome;
    for (std::size_t i = 0; i < writes.size(); ++i) {
        if (!conditionHolds(writes[i])) {
            outcome.failedWrite = i;
            return outcome;
        }
    }
    outcome.isApplied = true;
    for (const RowWrite &write : writes) {
        if (!write.value) {
            m_tables[write.table].erase(write.key);
            outcome.tags.emplace_back();
            continue;
        }
        const RowTag tag("\"" + std::to_string(++m_lastTag) + "\"");
        const Row row { write.key, *write.value, tag };
        outcome.hasCreated = m_tables[write.table].insert_or_assign(write.key, row).second;
        outcome.tags.push_back(tag);
    }
    return outcome;
}

std::optional<std::string> PlatformState::readObject(const std::string &key) const
{
    const std::lock_guard guard(m_mutex);
    const auto found = m_objects.find(key);
    return found != m_objects.end() ? std::optional(found->second) : std::nullopt;
}

void PlatformState::writeObject(const std::string &key, std::string content)
{
    const std::lock_guard guard(m_mutex);
    m_objects[key] = std::move(content);
}

bool PlatformState::conditionHolds(const RowWrite &write) const
{
    const Row *row = find(write.table, write.key);
    if (write.mustNotExist) {
        return row == nullptr;
    }
    return !write.mustMatch || (row != nullptr && row->tag == *write.mustMatch);
}

const Row *PlatformState::find(const TableName &table, const std::string &key) const
{
    const auto rows = m_tables.find(table);
    if (rows == m_tables.end()) {
        return nullptr;
    }
    const auto row = rows->second.find(key);
    return row != rows->second.end() ? &row->second : nullptr;
}

} // namespace Sapphire
