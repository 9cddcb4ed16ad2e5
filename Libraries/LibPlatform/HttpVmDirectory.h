#pragma once

#include <LibPlatform/PlatformChannel.h>
#include <LibPlatform/PlatformClientSettings.h>
#include <LibPlatform/VmDirectory.h>

#include <memory>

namespace Sapphire {

/// Client of the VM list's HTTP protocol (docs/design.md, section 10). Safe to share between threads.
class HttpVmDirectory final : public VmDirectory
{
public:
    /// Does not connect yet. Fails with InvalidArgument if the address is not "ip:port".
    [[nodiscard]] static Result<std::unique_ptr<HttpVmDirectory>> create(const PlatformClientSettings &settings);

    Result<std::vector<ListedVm>> list(Deadline deadline) override;

private:
    explicit HttpVmDirectory(std::unique_ptr<PlatformChannel> channel);

    std::unique_ptr<PlatformChannel> m_channel;
};

} // namespace Sapphire
