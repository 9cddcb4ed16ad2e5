#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Sapphire {

/// A row of the stand-in, or the trace of one that was removed.
struct StandInRow
{
    std::string key;
    std::string value; ///< Base64, as it was written.
    std::uint64_t version { 0 };
    bool isRemoved { false };
};

/// The rows of the users' metadata store, by its published protocol: one counter for all transactions, and a history of
/// changes that can be dropped.
class StoreTables
{
public:
    void set(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    /// Returns rows with keys from the given one on, in key order.
    std::vector<StandInRow> rows(const std::string &table, const std::string &from, std::size_t limit) const;
    /// Returns the changes after a version, in order, or nothing if the history doesn't reach back so far.
    std::optional<std::vector<StandInRow>> changesAfter(const std::string &table, std::uint64_t version) const;
    void dropHistory()
    {
        m_historyBegin = m_version;
    }
    std::uint64_t version() const
    {
        return m_version;
    }

private:
    std::map<std::string, std::map<std::string, StandInRow>> m_tables;
    std::uint64_t m_version { 0 };
    std::uint64_t m_historyBegin { 0 };
};

} // namespace Sapphire
