#pragma once

#include <Harness/ChildProcess.h>
#include <Harness/ScratchFolder.h>
#include <LibCore/Result.h>
#include <StandIns/FaultProxy/FaultCommand.h>
#include <StandIns/FaultProxy/LinkSettings.h>
#include <StandIns/FaultProxy/ProxyLink.h>

#include <memory>
#include <string>
#include <vector>

namespace Sapphire {

/// Starts and controls a fault proxy, a process that injects faults into connections. All calls fail with Unavailable
/// or Timeout if it cannot be reached.
class FaultProxy
{
public:
    /// Starts the program and waits until its control endpoints listen on "ip:port" and its links too.
    [[nodiscard]] static Result<std::unique_ptr<FaultProxy>>
    create(const ScratchFolder &folder, const std::string &controlAddress, const std::vector<LinkSettings> &links);

    ChildProcess &process();

    /// Fails with InvalidArgument if a name is taken or an address cannot be used.
    [[nodiscard]] Result<void> addLinks(const std::vector<LinkSettings> &links) const;
    /// Replaces the faults of the selected links. Fails with InvalidArgument if there are none.
    [[nodiscard]] Result<void> apply(const FaultCommand &command) const;
    /// Switches off all faults of the links whose names begin with the prefix; silenced connections stay silent.
    [[nodiscard]] Result<void> clear(const std::string &prefix) const;
    /// Resets the connections of the links whose names begin with the prefix, and refuses new ones.
    [[nodiscard]] Result<void> cut(const std::string &prefix) const;
    /// Blocks all traffic on the existing connections of these links without closing them; new connections work.
    [[nodiscard]] Result<void> silenceExisting(const std::string &prefix) const;
    /// Returns the connections and bytes of each link, by name.
    [[nodiscard]] Result<std::vector<LinkCounters>> counters() const;

private:
    FaultProxy(std::string controlAddress, std::unique_ptr<ChildProcess> process);

    Result<void> post(const std::string &path, const std::string &body) const;

    std::string m_controlAddress;
    std::unique_ptr<ChildProcess> m_process;
};

} // namespace Sapphire
