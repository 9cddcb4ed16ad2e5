#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Result.h>
#include <LibCore/StrongId.h>

#include <string>
#include <vector>

namespace Sapphire {

using TableName = StrongId<struct TableNameTag>;
/// The entity tag that identifies one version of a row, for conditional writes.
using RowTag = StrongId<struct RowTagTag>;

struct Row
{
    std::string key;
    std::string value;
    RowTag tag;
};

/// The platform's transactional table service. Every call may block until its deadline.
/// All calls fail with Unavailable (not sent or refused) or Timeout; a write then carries the verdict MayHaveRun
/// unless it certainly had no effect. Keys may contain any text up to 512 bytes and are ordered bytewise.
class TableService
{
public:
    virtual ~TableService() = default;

    /// Fails with NotFound if there is no such row.
    [[nodiscard]] virtual Result<Row> read(const TableName &table, const std::string &key, Deadline deadline) = 0;
    /// Returns up to `limit` rows (at most 1000) with keys after the given one, in key order.
    [[nodiscard]] virtual Result<std::vector<Row>> list(const TableName &table, const std::string &after,
                                                        std::size_t limit, Deadline deadline) = 0;
    /// Adds a row. Fails with Conflict if the key exists.
    [[nodiscard]] virtual Result<RowTag> insert(const TableName &table, const std::string &key,
                                                const std::string &value, Deadline deadline) = 0;
    /// Replaces a row that still has the given tag. Fails with Conflict otherwise.
    [[nodiscard]] virtual Result<RowTag> replace(const TableName &table, const std::string &key,
                                                 const std::string &value, const RowTag &tag, Deadline deadline) = 0;
    /// Removes a row that still has the given tag. Fails with Conflict otherwise.
    [[nodiscard]] virtual Result<void> remove(const TableName &table, const std::string &key, const RowTag &tag,
                                              Deadline deadline) = 0;
};

} // namespace Sapphire
