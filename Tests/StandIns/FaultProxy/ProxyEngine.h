#pragma once

#include <LibCore/Result.h>
#include <StandIns/FaultProxy/FaultCommand.h>
#include <StandIns/FaultProxy/LinkSettings.h>
#include <StandIns/FaultProxy/ProxyWorker.h>

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Sapphire {

/// A TCP proxy with many links, each served by one of a few worker threads. Safe to share between threads.
class ProxyEngine
{
public:
    [[nodiscard]] static Result<std::unique_ptr<ProxyEngine>> create(int workers);

    /// Adds the links in order. Fails with InvalidArgument if a name is taken, or with Unavailable if an address cannot
    /// be used; the links before it then stay.
    [[nodiscard]] Result<void> addLinks(const std::vector<LinkSettings> &links);
    /// Fails with NotFound if no link is selected.
    [[nodiscard]] Result<void> apply(const FaultCommand &command);
    /// Returns the counters of all links, by name.
    std::vector<LinkCounters> counters();

private:
    ProxyEngine() = default;

    std::mutex m_mutex;
    std::set<std::string> m_names;
    std::vector<std::unique_ptr<ProxyWorker>> m_workers;
};

} // namespace Sapphire
