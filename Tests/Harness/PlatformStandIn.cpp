#include <Harness/PlatformStandIn.h>

#include <Harness/ControlCall.h>
#include <LibCore/EventLog.h>
#include <LibCore/SettingsReader.h>
#include <LibPlatform/PercentEncoding.h>
#include <LibPlatform/VmListText.h>

#include <limits>
#include <utility>

namespace Sapphire {

namespace {

std::string millisecondsText(Milliseconds interval)
{
    return "{\"milliseconds\":" + std::to_string(interval.count()) + "}";
}

} // namespace

PlatformStandIn::PlatformStandIn(std::string address, std::unique_ptr<ChildProcess> process)
    : m_address(std::move(address)), m_process(std::move(process))
{
}

Result<std::unique_ptr<PlatformStandIn>> PlatformStandIn::create(const ScratchFolder &folder,
                                                                 const std::string &address)
{
    BOOST_LEAF_AUTO(process, ChildProcess::create("platform-stand-in", { "--listen=" + address }, folder, "platform"));
    BOOST_LEAF_CHECK(waitUntilReady(*process, address, "/control/counters"));
    return std::unique_ptr<PlatformStandIn>(new PlatformStandIn(address, std::move(process)));
}

const std::string &PlatformStandIn::address() const
{
    return m_address;
}

ChildProcess &PlatformStandIn::process()
{
    return *m_process;
}

Result<void> PlatformStandIn::setLatency(Milliseconds latency) const
{
    return change("PUT", "latency", millisecondsText(latency));
}

Result<void> PlatformStandIn::setOutage(OutageMode mode) const
{
    return change("PUT", "outage", "{\"mode\":" + quoteJson(nameOf(mode)) + "}");
}

Result<void> PlatformStandIn::loseAnswers(int count) const
{
    return change("PUT", "lost-answers", "{\"count\":" + std::to_string(count) + "}");
}

Result<void> PlatformStandIn::setVmListLag(Milliseconds lag) const
{
    return change("PUT", "vm-list-lag", millisecondsText(lag));
}

Result<void> PlatformStandIn::putVm(const ListedVm &vm) const
{
    return change("PUT", "vms/" + percentEncode(vm.vm.text()), listedVmText(vm));
}

Result<void> PlatformStandIn::removeVm(const VmId &vm) const
{
    return change("DELETE", "vms/" + percentEncode(vm.text()), "");
}

Result<void> PlatformStandIn::markLeaving(const VmId &vm) const
{
    return change("POST", "vms/" + percentEncode(vm.text()) + "/leaving", "");
}

Result<PlatformCounters> PlatformStandIn::counters() const
{
    BOOST_LEAF_AUTO(text, control("GET", "counters", ""));
    BOOST_LEAF_AUTO(reader, SettingsReader::create(text));
    const auto number = [&reader](const char *name) {
        return static_cast<std::uint64_t>(reader.requiredInteger(name, 0, std::numeric_limits<std::int64_t>::max()));
    };
    PlatformCounters counters;
    counters.reads = number("reads");
    counters.writes = number("writes");
    counters.mostReadsPerSecond = number("mostReadsPerSecond");
    counters.mostWritesPerSecond = number("mostWritesPerSecond");
    counters.readCeiling = number("readCeiling");
    counters.writeCeiling = number("writeCeiling");
    BOOST_LEAF_CHECK(reader.finish());
    return counters;
}

Result<void> PlatformStandIn::clearCounters() const
{
    return change("DELETE", "counters", "");
}

Result<std::string> PlatformStandIn::control(const std::string &method, const std::string &path,
                                             const std::string &body) const
{
    return controlCall(m_address, method, "/control/" + path, body);
}

Result<void> PlatformStandIn::change(const std::string &method, const std::string &path, const std::string &body) const
{
    BOOST_LEAF_CHECK(control(method, path, body));
    return {};
}

} // namespace Sapphire
