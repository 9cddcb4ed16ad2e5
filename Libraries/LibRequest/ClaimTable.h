#pragma once

#include <LibPlatform/TableService.h>
#include <LibRequest/RequestRecord.h>

#include <optional>

namespace Sapphire {

/// Stores the claims and results of requests durably in the platform's table service. Keeps nothing in memory.
class ClaimTable
{
public:
    explicit ClaimTable(TableService &table);

    /// Returns nothing if no process has claimed the id. Fails with Unavailable, Timeout or DataLoss.
    [[nodiscard]] Result<std::optional<RequestRecord>> read(const RequestKey &key, Deadline deadline);

    /// The result of an attempt to claim an id.
    struct Claim
    {
        bool isMine { false };
        RequestRecord record; ///< The record of the process that holds the claim.
        std::optional<RowTag> tag {}; ///< Of the row, if the claim succeeded and the tag is known.
    };
    /// Claims the id for the process, unless the request ran, is running or may have run.
    /// Fails with Unavailable, Timeout or DataLoss; the verdict is then MayHaveRun if the row may have been written.
    [[nodiscard]] Result<Claim> claim(const RequestKey &key, const VmIncarnation &process, const std::string &nonce,
                                      Deadline deadline);

    /// Replaces the row of the record's claim, or inserts it if it doesn't exist yet. Passing the tag of the row, if
    /// known, saves a read. Returns the new tag. Fails with Conflict if the row holds another process's claim.
    [[nodiscard]] Result<RowTag> update(const RequestKey &key, const RequestRecord &record,
                                        const std::optional<RowTag> &tag, Deadline deadline);

private:
    struct StoredRecord
    {
        RequestRecord record;
        RowTag tag;
    };

    [[nodiscard]] Result<std::optional<StoredRecord>> readStored(const RequestKey &key, Deadline deadline);
    [[nodiscard]] Result<Claim> confirm(const RequestKey &key, const RequestRecord &wanted, Deadline deadline);

    TableService &m_table;
};

} // namespace Sapphire
