#pragma once

#include <LibPlatform/ObjectStore.h>
#include <LibPlatform/PlatformChannel.h>
#include <LibPlatform/PlatformClientSettings.h>

#include <memory>

namespace Sapphire {

/// Client of the object store's HTTP protocol (docs/design.md, section 10). Safe to share between threads.
class HttpObjectStore final : public ObjectStore
{
public:
    /// Does not connect yet. Fails with InvalidArgument if the address is not "ip:port".
    [[nodiscard]] static Result<std::unique_ptr<HttpObjectStore>> create(const PlatformClientSettings &settings);

    Result<std::string> read(const std::string &key, Deadline deadline) override;
    Result<void> write(const std::string &key, const std::string &content, Deadline deadline) override;

private:
    explicit HttpObjectStore(std::unique_ptr<PlatformChannel> channel);

    std::unique_ptr<PlatformChannel> m_channel;
};

} // namespace Sapphire
