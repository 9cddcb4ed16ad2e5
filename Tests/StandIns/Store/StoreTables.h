#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Sapphire {

/// A row, or the tombstone of one that was removed.
struct StandInRow
{
    std::string key;
    std::string value; ///< In base64, as it was written.
    std::uint64_t version { 0 };
    bool isRemoved { false };
};

/// The rows of the simulated metadata store. As the store's published protocol says, all tables share one version
/// counter, and the history of changes can be dropped.
class StoreTables
{
public:
    void set(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    /// Returns up to `limit` rows in key order, starting with the given key.
    std::vector<StandInRow> rows(const std::string &table, const std::string &from, std::size_t limit) const;
    /// Returns the last change of each row that changed after a version, in order of versions, or nothing if the
    /// history doesn't reach back so far or ends before it.
    std::optional<std::vector<StandInRow>> changesAfter(const std::string &table, std::uint64_t version) const;
    /// Drops all changes up to the current version.
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
