#pragma once

#include <LibPlatform/TableService.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sapphire {

/// One write of a row. Without a value the row is removed.
struct RowWrite
{
    TableName table;
    std::string key;
    std::optional<std::string> value;
    std::optional<RowTag> mustMatch; ///< The row must have this tag.
    bool mustNotExist { false };
};

struct TransactionOutcome
{
    bool isApplied { false };
    std::size_t failedWrite { 0 }; ///< Index of the first write whose condition did not hold.
    bool hasCreated { false }; ///< Whether the last write added a row.
    std::vector<RowTag> tags; ///< One per write, empty for a removal.
};

/// The tables and objects of the stand-in, in memory. Safe to share between threads.
class PlatformState
{
public:
    std::optional<Row> read(const TableName &table, const std::string &key) const;
    std::vector<Row> list(const TableName &table, const std::string &after, std::size_t limit) const;
    /// Applies all writes or, if a condition does not hold, none.
    TransactionOutcome apply(const std::vector<RowWrite> &writes);

    std::optional<std::string> readObject(const std::string &key) const;
    void writeObject(const std::string &key, std::string content);

private:
    bool conditionHolds(const RowWrite &write) const;
    const Row *find(const TableName &table, const std::string &key) const;

    mutable std::mutex m_mutex;
    std::unordered_map<TableName, std::map<std::string, Row>> m_tables;
    std::map<std::string, std::string> m_objects;
    std::uint64_t m_lastTag { 0 };
};

} // namespace Sapphire
