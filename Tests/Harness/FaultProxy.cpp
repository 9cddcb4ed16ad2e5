#include <Harness/FaultProxy.h>

#include <Harness/ControlCall.h>
#include <LibCore/SettingsReader.h>

#include <limits>
#include <utility>

namespace Sapphire {

namespace {

constexpr auto noLimit = std::numeric_limits<std::int64_t>::max();

LinkCounters readCounters(SettingsReader &reader)
{
    const auto number = [&reader](const char *name) {
        return static_cast<std::uint64_t>(reader.requiredInteger(name, 0, noLimit));
    };
    LinkCounters link;
    link.name = reader.requiredText("name");
    link.accepted = number("accepted");
    link.open = number("open");
    link.bytes.toServer = number("bytesToServer");
    link.bytes.toClient = number("bytesToClient");
    return link;
}

FaultCommand commandFor(const std::string &prefix)
{
    FaultCommand command;
    command.name = prefix;
    command.isPrefix = true;
    return command;
}

} // namespace

FaultProxy::FaultProxy(std::string controlAddress, std::unique_ptr<ChildProcess> process)
    : m_controlAddress(std::move(controlAddress)), m_process(std::move(process))
{
}

Result<std::unique_ptr<FaultProxy>> FaultProxy::create(const ScratchFolder &folder, const std::string &controlAddress,
                                                       const std::vector<LinkSettings> &links)
{
    BOOST_LEAF_AUTO(settings, folder.write("fault-proxy.json", linksText(links)));
    BOOST_LEAF_AUTO(process,
                    ChildProcess::create("fault-proxy",
                                         { "--control=" + controlAddress, "--settings=" + settings.string() }, folder,
                                         "fault-proxy"));
    BOOST_LEAF_CHECK(waitUntilReady(*process, controlAddress, "/control/links"));
    std::unique_ptr<FaultProxy> proxy(new FaultProxy(controlAddress, std::move(process)));
    // The control endpoints listen before the links do.
    for (;;) {
        BOOST_LEAF_AUTO(present, proxy->counters());
        if (present.size() >= links.size()) {
            return proxy;
        }
        if (!proxy->m_process->isRunning()) {
            return fail(ErrorCode::Unavailable, "the fault proxy ended: " + proxy->m_process->errorOutput());
        }
    }
}

ChildProcess &FaultProxy::process()
{
    return *m_process;
}

Result<void> FaultProxy::addLinks(const std::vector<LinkSettings> &links) const
{
    return post("/control/links", linksText(links));
}

Result<void> FaultProxy::apply(const FaultCommand &command) const
{
    return post("/control/faults", faultCommandText(command));
}

Result<void> FaultProxy::clear(const std::string &prefix) const
{
    return apply(commandFor(prefix));
}

Result<void> FaultProxy::cut(const std::string &prefix) const
{
    FaultCommand command = commandFor(prefix);
    command.faults.isCut = true;
    return apply(command);
}

Result<void> FaultProxy::silenceExisting(const std::string &prefix) const
{
    FaultCommand command = commandFor(prefix);
    command.silenceExisting = { true, true };
    return apply(command);
}

Result<std::vector<LinkCounters>> FaultProxy::counters() const
{
    BOOST_LEAF_AUTO(text, controlCall(m_controlAddress, "GET", "/control/links", ""));
    BOOST_LEAF_AUTO(reader, SettingsReader::create(text));
    std::vector<LinkCounters> links;
    for (SettingsReader &element : reader.objects("links")) {
        links.push_back(readCounters(element));
    }
    BOOST_LEAF_CHECK(reader.finish());
    return links;
}

Result<void> FaultProxy::post(const std::string &path, const std::string &body) const
{
    BOOST_LEAF_CHECK(controlCall(m_controlAddress, "POST", path, body));
    return {};
}

} // namespace Sapphire
