#pragma once

#include <LibPlatform/TableService.h>
#include <LibRequest/RequestRecord.h>

#include <optional>

namespace Sapphire {

/// The durable claims and results of requests, in the platform's table service. Holds no state of its own.
class ClaimTable
{
public:
    explicit ClaimTable(TableService &table);

    /// Returns nothing if no process has claimed the id. Fails with Unavailable, Timeout or DataLoss.
    [[nodiscard]] Result<std::optional<RequestRecord>> read(const RequestKey &key, Deadline deadline);

    /// What became of an attempt to claim an id.
    struct Claim
    {
        bool isMine { false };
        RequestRecord record; ///< The own record, or that of the other holder.
        std::optional<RowTag> tag {}; ///< Of the row, if the claim is mine and the tag is known.
    };
    /// Claims the id for the process, unless it ran, runs or may have run.
    /// Fails with Unavailable, Timeout or DataLoss; the verdict is then MayHaveRun if the row may have been written.
    [[nodiscard]] Result<Claim> claim(const RequestKey &key, const VmIncarnation &process, const std::string &nonce,
                                      Deadline deadline);

    /// Writes a newer record of the own claim, or the claim itself if it has no row yet. The tag of the row saves a
    /// read if it is known. Returns the new tag. Fails with Conflict if the row holds another process's claim.
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
