#pragma once

#include <LibConfiguration/Command.h>
#include <LibCore/Result.h>
#include <LibPlatform/ObjectStore.h>
#include <LibPlatform/TableService.h>

namespace Sapphire {

/// A snapshot is written after each change whose version is a multiple of this.
inline constexpr std::uint64_t snapshotInterval = 256;

enum class AppendOutcome {
    Written, ///< The row holds the entry, by this call or an earlier one.
    Taken, ///< Another writer has that version.
};

/// The log of changes: one row per version in table `configuration`, and a snapshot in the object store.
/// Safe to share between threads.
class ConfigurationLog
{
public:
    ConfigurationLog(TableService &tables, ObjectStore &objects) : m_tables(tables), m_objects(objects)
    {
    }

    /// Returns up to `limit` entries that follow on the version, oldest first. A row that can't be decoded becomes an
    /// entry that can't be applied. Fails like TableService, or with DataLoss if rows are missing in between.
    [[nodiscard]] Result<std::vector<LogEntry>> readAfter(ConfigurationVersion version, std::size_t limit,
                                                          Deadline deadline);
    /// Writes the entry unless its version is taken. If an answer is lost, the row is read back, and the write repeated
    /// if there is none. Fails with verdict NotRun if the row surely was not written, and MayHaveRun otherwise.
    [[nodiscard]] Result<AppendOutcome> append(const LogEntry &entry, Deadline deadline);

    /// Returns the configuration of the newest snapshot, or the empty one if there is none that can be read: the rows
    /// of the log are complete without it. Fails like ObjectStore.
    [[nodiscard]] Result<Configuration> loadSnapshot(Deadline deadline);
    /// An older snapshot that overwrites a newer one is harmless: more rows are then read at a start.
    [[nodiscard]] Result<void> writeSnapshot(const Configuration &configuration, Deadline deadline);

private:
    [[nodiscard]] Result<AppendOutcome> readBack(const LogEntry &entry, Deadline deadline);

    TableService &m_tables;
    ObjectStore &m_objects;
};

} // namespace Sapphire
