#include <StandIns/Target/StandInTarget.h>

#include <LibCore/EventLog.h>

#include <Poco/NumberParser.h>

#include <algorithm>

namespace Sapphire {

namespace {

Result<int> number(const std::string &name, const std::string &text)
{
    int value = 0;
    if (!Poco::NumberParser::tryParse(text, value)) {
        return fail(ErrorCode::InvalidArgument, name + ": found " + text + ", expected a whole number");
    }
    return value;
}

std::optional<int> claimed(int value)
{
    return value < 0 ? std::nullopt : std::optional(value);
}

} // namespace

StandInTarget::StandInTarget(StandInTargetSettings settings, TimePoint now)
    : m_settings(std::move(settings)), m_coldSince(now), m_lastActivity(now)
{
}

Result<void> StandInTarget::apply(const std::map<std::string, std::string> &parameters)
{
    for (const auto &[name, text] : parameters) {
        if (name == "health") {
            m_faults.health = text;
            continue;
        }
        if (name == "crashText") {
            m_faults.crashText = text;
            continue;
        }
        BOOST_LEAF_AUTO(value, number(name, text));
        if (name == "drain") {
            m_faults.health = value != 0 ? "draining" : "ok";
        } else if (name == "freeze") {
            m_faults.isFrozen = false;
            m_faults.frozenHealth = healthJson();
            m_faults.frozenLoad = loadJson();
            m_faults.isFrozen = value != 0;
        } else if (name == "claimedInFlight") {
            m_faults.claimedInFlight = claimed(value);
        } else if (name == "claimedSlots") {
            m_faults.claimedSlots = claimed(value);
        } else if (name == "slots") {
            m_settings.slots = value;
        } else if (name == "serviceTimeMs") {
            m_settings.serviceTime = Milliseconds(value);
        } else if (name == "shedAll") {
            m_faults.shedsAll = value != 0;
        } else if (name == "restartAfterMs") {
            m_faults.restartAfter = Milliseconds(value);
        } else if (name == "cutAnswers") {
            m_faults.answersToCut = value;
        } else if (name == "cutsByReset") {
            m_faults.cutsByReset = value != 0;
        } else if (name == "answerDelayMs") {
            m_faults.answerDelay = Milliseconds(value);
        } else {
            return fail(ErrorCode::InvalidArgument, name + ": unknown parameter");
        }
    }
    return {};
}

void StandInTarget::takeSlot(TimePoint now)
{
    const bool wasIdle =
        m_inFlight == 0 && m_settings.idleTime > Microseconds::zero() && now - m_lastActivity > m_settings.idleTime;
    if (wasIdle) {
        m_coldSince = now;
    }
    m_lastActivity = now;
    ++m_ran;
    ++m_inFlight;
    m_mostInFlight = std::max(m_mostInFlight, m_inFlight);
}

void StandInTarget::freeSlot(TimePoint now)
{
    m_lastActivity = now;
    --m_inFlight;
}

void StandInTarget::noteStarted(TimePoint now)
{
    m_coldSince = now;
    m_lastActivity = now;
}

Microseconds StandInTarget::serviceTime(TimePoint now) const
{
    const Microseconds sinceCold = now - m_coldSince;
    if (sinceCold >= m_settings.coldTime) {
        return m_settings.serviceTime;
    }
    const double coldPart =
        1.0 - static_cast<double>(sinceCold.count()) / static_cast<double>(m_settings.coldTime.count());
    const double factor = 1.0 + (m_settings.coldFactor - 1.0) * coldPart;
    return Microseconds(static_cast<Microseconds::rep>(static_cast<double>(m_settings.serviceTime.count()) * factor));
}

std::string StandInTarget::healthJson() const
{
    if (m_faults.isFrozen) {
        return m_faults.frozenHealth;
    }
    return "{\"status\":" + quoteJson(m_faults.health) + "}";
}

std::string StandInTarget::loadJson() const
{
    if (m_faults.isFrozen) {
        return m_faults.frozenLoad;
    }
    const int inFlight = m_faults.claimedInFlight.value_or(m_inFlight);
    const int slots = m_faults.claimedSlots.value_or(m_settings.slots);
    return "{\"inFlight\":" + std::to_string(inFlight) + ",\"slots\":" + std::to_string(slots) + "}";
}

std::string StandInTarget::countersJson(std::size_t connections) const
{
    std::string json = "{\"inFlight\":" + std::to_string(m_inFlight);
    json += ",\"mostInFlight\":" + std::to_string(m_mostInFlight);
    json += ",\"slots\":" + std::to_string(m_settings.slots);
    json += ",\"connections\":" + std::to_string(connections);
    json += ",\"accepted\":" + std::to_string(m_accepted);
    json += ",\"ran\":" + std::to_string(m_ran);
    json += ",\"finished\":" + std::to_string(m_finished);
    json += ",\"cancelled\":" + std::to_string(m_cancelled);
    json += ",\"shed\":" + std::to_string(m_shed) + "}";
    return json;
}

void StandInTarget::clearCounters()
{
    m_mostInFlight = m_inFlight;
    m_accepted = 0;
    m_ran = 0;
    m_finished = 0;
    m_cancelled = 0;
    m_shed = 0;
}

} // namespace Sapphire
