#include <StandIns/FaultProxy/FaultCommand.h>

#include <LibCore/EventLog.h>
#include <LibCore/SettingsReader.h>

#include <limits>

namespace Sapphire {

namespace {

constexpr double longestDelayMilliseconds = 60'000;
constexpr double microsecondsPerMillisecond = 1000;

Microseconds readDelay(SettingsReader &reader, const std::string &name)
{
    const double milliseconds = reader.number(name, 0, longestDelayMilliseconds, 0);
    return Microseconds(static_cast<Microseconds::rep>(milliseconds * microsecondsPerMillisecond));
}

std::uint64_t readCount(SettingsReader &reader, const std::string &name)
{
    return static_cast<std::uint64_t>(reader.integer(name, 0, std::numeric_limits<std::int64_t>::max(), 0));
}

void readSilence(SettingsReader &reader, FaultCommand &command)
{
    const std::string silence = reader.text("silence", "none");
    const std::string direction = reader.text("silenceDirection", "both");
    const PerDirection<bool> directions { direction != "toClient", direction != "toServer" };
    if (direction != "both" && direction != "toServer" && direction != "toClient") {
        reader.reject("silenceDirection", direction, "both, toServer or toClient");
    }
    if (silence == "existing") {
        command.silenceExisting = directions;
    } else if (silence == "all") {
        command.faults.isSilent = directions;
    } else if (silence != "none") {
        reader.reject("silence", silence, "none, existing or all");
    }
}

std::string silenceText(const std::string &kind, const PerDirection<bool> &directions)
{
    if (!directions.toServer && !directions.toClient) {
        return "";
    }
    const std::string direction = !directions.toClient ? "toServer" : !directions.toServer ? "toClient" : "both";
    return ",\"silence\":" + quoteJson(kind) + ",\"silenceDirection\":" + quoteJson(direction);
}

std::string millisecondsText(Microseconds delay)
{
    return std::to_string(static_cast<double>(delay.count()) / microsecondsPerMillisecond);
}

} // namespace

bool FaultCommand::selects(const std::string &linkName) const
{
    return isPrefix ? linkName.starts_with(name) : linkName == name;
}

Result<FaultCommand> parseFaultCommand(const std::string &text)
{
    BOOST_LEAF_AUTO(reader, SettingsReader::create(text));
    FaultCommand command;
    command.isPrefix = reader.has("prefix");
    command.name = command.isPrefix ? reader.text("prefix", "") : reader.requiredText("link");
    command.faults.delay.toServer = readDelay(reader, "delayToServerMs");
    command.faults.delay.toClient = readDelay(reader, "delayToClientMs");
    command.faults.bytesPerSecond = readCount(reader, "bytesPerSecond");
    command.faults.isCut = reader.boolean("cut", false);
    readSilence(reader, command);
    command.faults.truncateAnswerAfter = readCount(reader, "truncateAnswerAfter");
    command.faults.closeAfter = readCount(reader, "closeAfter");
    command.faults.dropAnswers = readCount(reader, "dropAnswers");
    command.resetExisting = reader.boolean("reset", false);
    reader.rejectUnknownMembers();
    BOOST_LEAF_CHECK(reader.finish());
    return command;
}

std::string faultCommandText(const FaultCommand &command)
{
    const LinkFaults &faults = command.faults;
    std::string text = command.isPrefix ? "{\"prefix\":" : "{\"link\":";
    text += quoteJson(command.name);
    text += ",\"delayToServerMs\":" + millisecondsText(faults.delay.toServer);
    text += ",\"delayToClientMs\":" + millisecondsText(faults.delay.toClient);
    text += ",\"bytesPerSecond\":" + std::to_string(faults.bytesPerSecond);
    text += faults.isCut ? ",\"cut\":true" : "";
    text += silenceText("existing", command.silenceExisting);
    text += silenceText("all", faults.isSilent);
    text += ",\"truncateAnswerAfter\":" + std::to_string(faults.truncateAnswerAfter);
    text += ",\"closeAfter\":" + std::to_string(faults.closeAfter);
    text += ",\"dropAnswers\":" + std::to_string(faults.dropAnswers);
    text += command.resetExisting ? ",\"reset\":true" : "";
    return text + "}";
}

} // namespace Sapphire
