#include <StandIns/Platform/PlatformControl.h>

#include <LibCore/BootClock.h>
#include <LibCore/EventLog.h>
#include <LibCore/Result.h>
#include <LibCore/SettingsReader.h>
#include <LibPlatform/VmListText.h>

#include <functional>

namespace Sapphire {

namespace {

constexpr Milliseconds longestInterval { 3'600'000 };
constexpr int mostLostAnswers = 1'000'000;

HttpReply badRequest(const std::string &message)
{
    return { 400, "{\"error\":" + quoteJson(message) + "}", {}, "application/json" };
}

HttpReply unknownEndpoint()
{
    return { 404, "{\"error\":\"unknown control endpoint\"}", {}, "application/json" };
}

/// Reads a JSON body with the given function. Answers 204, or 400 with the errors that it found.
HttpReply withBody(const std::string &body, const std::function<Result<void>(SettingsReader &)> &read)
{
    const Outcome<void> outcome = capture([&]() -> Result<void> {
        BOOST_LEAF_AUTO(reader, SettingsReader::create(body));
        return read(reader);
    });
    if (!outcome) {
        return badRequest(outcome.error().message);
    }
    return { 204, {}, {}, {} };
}

Result<Milliseconds> readMilliseconds(SettingsReader &reader)
{
    const auto value = reader.requiredInteger("milliseconds", 0, longestInterval.count());
    reader.rejectUnknownMembers();
    BOOST_LEAF_CHECK(reader.finish());
    return Milliseconds(value);
}

} // namespace

PlatformControl::PlatformControl(PlatformServerParts &parts) : m_parts(parts)
{
}

HttpReply PlatformControl::answer(const std::string &method, const std::vector<std::string> &segments,
                                  const std::string &body)
{
    if (segments.empty()) {
        return unknownEndpoint();
    }
    if (segments[0] == "vms") {
        return changeVm(method, segments, body);
    }
    if (segments.size() == 1 && segments[0] == "counters" && method == "GET") {
        return counters();
    }
    if (segments.size() == 1 && segments[0] == "counters" && method == "DELETE") {
        m_parts.reads.clear();
        m_parts.writes.clear();
        return { 204, {}, {}, {} };
    }
    if (segments.size() == 1 && method == "PUT") {
        return applySetting(segments[0], body);
    }
    return unknownEndpoint();
}

HttpReply PlatformControl::applySetting(const std::string &name, const std::string &body)
{
    if (name == "latency") {
        return withBody(body, [this](SettingsReader &reader) -> Result<void> {
            BOOST_LEAF_AUTO(latency, readMilliseconds(reader));
            m_parts.faults.setLatency(latency);
            return {};
        });
    }
    if (name == "vm-list-lag") {
        return withBody(body, [this](SettingsReader &reader) -> Result<void> {
            BOOST_LEAF_AUTO(lag, readMilliseconds(reader));
            m_parts.vms.setLag(lag);
            return {};
        });
    }
    if (name == "lost-answers") {
        return withBody(body, [this](SettingsReader &reader) -> Result<void> {
            const auto count = reader.requiredInteger("count", 0, mostLostAnswers);
            reader.rejectUnknownMembers();
            BOOST_LEAF_CHECK(reader.finish());
            m_parts.faults.setLostAnswers(static_cast<int>(count));
            return {};
        });
    }
    if (name == "outage") {
        return withBody(body, [this](SettingsReader &reader) -> Result<void> {
            const std::string text = reader.requiredText("mode");
            const auto mode = outageModeFromText(text);
            if (!mode && !text.empty()) {
                reader.reject("mode", text, "none, refuse or silent");
            }
            reader.rejectUnknownMembers();
            BOOST_LEAF_CHECK(reader.finish());
            m_parts.faults.setOutage(*mode);
            return {};
        });
    }
    return unknownEndpoint();
}

HttpReply PlatformControl::changeVm(const std::string &method, const std::vector<std::string> &segments,
                                    const std::string &body)
{
    const TimePoint now = BootClock().now();
    if (segments.size() == 2 && method == "PUT") {
        return putVm(segments[1], body);
    }
    if (segments.size() == 2 && method == "DELETE") {
        m_parts.vms.remove(VmId(segments[1]), now);
        return { 204, {}, {}, {} };
    }
    if (segments.size() == 3 && segments[2] == "leaving" && method == "POST") {
        if (!m_parts.vms.markLeaving(VmId(segments[1]), now)) {
            return { 404, "{\"error\":\"no such VM\"}", {}, "application/json" };
        }
        return { 204, {}, {}, {} };
    }
    return unknownEndpoint();
}

HttpReply PlatformControl::putVm(const std::string &id, const std::string &body)
{
    return withBody(body, [&](SettingsReader &reader) -> Result<void> {
        const ListedVm vm = readListedVm(reader);
        if (!vm.vm.isEmpty() && vm.vm.text() != id) {
            reader.reject("id", vm.vm.text(), "the id in the path, " + id);
        }
        reader.rejectUnknownMembers();
        BOOST_LEAF_CHECK(reader.finish());
        m_parts.vms.put(vm, BootClock().now());
        return {};
    });
}

HttpReply PlatformControl::counters() const
{
    const auto member = [](const std::string &name, std::uint64_t value) {
        return quoteJson(name) + ":" + std::to_string(value);
    };
    const std::string text = "{" + member("reads", m_parts.reads.count()) + ","
        + member("writes", m_parts.writes.count()) + "," + member("mostReadsPerSecond", m_parts.reads.mostPerSecond())
        + "," + member("mostWritesPerSecond", m_parts.writes.mostPerSecond()) + ","
        + member("readCeiling", m_parts.readCeiling) + "," + member("writeCeiling", m_parts.writeCeiling) + "}";
    return { 200, text, {}, "application/json" };
}

} // namespace Sapphire
