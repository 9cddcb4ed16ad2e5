#pragma once

#include <LibConfiguration/Command.h>
#include <LibCore/Result.h>
#include <LibPlatform/ObjectStore.h>
#include <LibPlatform/TableService.h>

namespace Sapphire {

/// A snapshot becomes due with each change whose version is a multiple of this.
inline constexpr std::uint64_t snapshotInterval = 256;

enum class AppendOutcome {
    Written, ///< The row contains the entry, written by this call or an earlier one.
    Taken, ///< The row contains another command.
};

/// The log of configuration changes: one row for each version in table `configuration`, and a snapshot in the object
/// store. Safe to share between threads.
class ConfigurationLog
{
public:
    ConfigurationLog(TableService &tables, ObjectStore &objects) : m_tables(tables), m_objects(objects)
    {
    }

    /// Returns up to `limit` entries after the version, oldest first. A row that can't be decoded becomes an entry that
    /// can't be applied. Fails like TableService, or with DataLoss if a row is missing between others.
    [[nodiscard]] Result<std::vector<LogEntry>> readAfter(ConfigurationVersion version, std::size_t limit,
                                                          Deadline deadline);
    /// Writes the entry unless its version is taken. If an answer is lost, reads the row back and repeats the write if
    /// there is no row. Fails with verdict NotRun if the entry was certainly not written, else with MayHaveRun.
    [[nodiscard]] Result<AppendOutcome> append(const LogEntry &entry, Deadline deadline);

    /// Returns the configuration in the snapshot, or an empty one if there is no snapshot or it can't be decoded: the
    /// rows of the log are complete without it. Fails like ObjectStore.
    [[nodiscard]] Result<Configuration> loadSnapshot(Deadline deadline);
    /// Overwrites the snapshot. Overwriting a newer one is harmless: the next VM to start then reads more rows.
    [[nodiscard]] Result<void> writeSnapshot(const Configuration &configuration, Deadline deadline);

private:
    [[nodiscard]] Result<AppendOutcome> readBack(const LogEntry &entry, Deadline deadline);

    TableService &m_tables;
    ObjectStore &m_objects;
};

} // namespace Sapphire
