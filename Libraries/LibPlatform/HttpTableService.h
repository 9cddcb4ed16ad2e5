#pragma once

#include <LibPlatform/PlatformChannel.h>
#include <LibPlatform/PlatformClientSettings.h>
#include <LibPlatform/TableService.h>

#include <memory>

namespace Sapphire {

/// Client of the table service's HTTP protocol (docs/design.md, section 10). Safe to share between threads.
class HttpTableService final : public TableService
{
public:
    /// Does not connect yet. Fails with InvalidArgument if the address is not "ip:port".
    [[nodiscard]] static Result<std::unique_ptr<HttpTableService>> create(const PlatformClientSettings &settings);

    Result<Row> read(const TableName &table, const std::string &key, Deadline deadline) override;
    Result<std::vector<Row>> list(const TableName &table, const std::string &after, std::size_t limit,
                                  Deadline deadline) override;
    Result<RowTag> insert(const TableName &table, const std::string &key, const std::string &value,
                          Deadline deadline) override;
    Result<RowTag> replace(const TableName &table, const std::string &key, const std::string &value, const RowTag &tag,
                           Deadline deadline) override;
    Result<void> remove(const TableName &table, const std::string &key, const RowTag &tag, Deadline deadline) override;

private:
    explicit HttpTableService(std::unique_ptr<PlatformChannel> channel);

    Result<RowTag> write(const PlatformRequest &request, Deadline deadline);

    std::unique_ptr<PlatformChannel> m_channel;
};

} // namespace Sapphire
