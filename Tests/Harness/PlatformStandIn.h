#pragma once

#include <Harness/ChildProcess.h>
#include <Harness/ScratchFolder.h>
#include <LibCore/Result.h>
#include <LibPlatform/VmDirectory.h>
#include <StandIns/Platform/PlatformFaults.h>

#include <cstdint>
#include <memory>
#include <string>

namespace Sapphire {

/// What the stand-in counted since its start or the last clearCounters().
struct PlatformCounters
{
    std::uint64_t reads { 0 };
    std::uint64_t writes { 0 };
    std::uint64_t mostReadsPerSecond { 0 };
    std::uint64_t mostWritesPerSecond { 0 };
    std::uint64_t readCeiling { 0 };
    std::uint64_t writeCeiling { 0 };
};

/// Starts and controls a platform stand-in, which runs as its own process. All calls fail with Unavailable or Timeout
/// if it cannot be reached.
class PlatformStandIn
{
public:
    /// Starts the program and waits until it listens on "ip:port".
    [[nodiscard]] static Result<std::unique_ptr<PlatformStandIn>> create(const ScratchFolder &folder,
                                                                         const std::string &address);

    /// Returns "ip:port".
    const std::string &address() const;
    ChildProcess &process();

    [[nodiscard]] Result<void> setLatency(Milliseconds latency) const;
    [[nodiscard]] Result<void> setOutage(OutageMode mode) const;
    /// The next writes take effect, but their connections are closed without an answer.
    [[nodiscard]] Result<void> loseAnswers(int count) const;
    /// Sets the delay after which later changes appear in the list of VMs.
    [[nodiscard]] Result<void> setVmListLag(Milliseconds lag) const;
    [[nodiscard]] Result<void> putVm(const ListedVm &vm) const;
    [[nodiscard]] Result<void> removeVm(const VmId &vm) const;
    [[nodiscard]] Result<void> markLeaving(const VmId &vm) const;
    [[nodiscard]] Result<PlatformCounters> counters() const;
    [[nodiscard]] Result<void> clearCounters() const;

private:
    PlatformStandIn(std::string address, std::unique_ptr<ChildProcess> process);

    Result<std::string> control(const std::string &method, const std::string &path, const std::string &body) const;
    Result<void> change(const std::string &method, const std::string &path, const std::string &body) const;

    std::string m_address;
    std::unique_ptr<ChildProcess> m_process;
};

} // namespace Sapphire
