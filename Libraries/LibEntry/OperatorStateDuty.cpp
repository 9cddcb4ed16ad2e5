#include <LibEntry/OperatorStateDuty.h>

#include <LibCore/Hash.h>

#include <utility>

namespace Sapphire {

namespace {

// A reader's call waits at the platform for a change, so that it is known at once; each call ends as a confirmation.
constexpr Milliseconds readerWait { 1'200 };
// What a call may take beyond its wait.
constexpr Milliseconds callTime { 1'500 };

std::uint64_t digestOf(const OperatorState &state)
{
    std::string content = state.rules ? std::to_string(state.rules->version().value()) : "none";
    for (const AvailabilityZoneId &zone : state.evacuatedZones) {
        content += "\n" + zone.text();
    }
    return stableHash(content);
}

SharedReadingSettings readingSettings()
{
    SharedReadingSettings settings;
    settings.readerInterval = Milliseconds(0);
    return settings;
}

} // namespace

OperatorStateDuty::OperatorStateDuty(const SharedSourceParts &parts, OperatorStateSource &source,
                                     std::function<void(const OperatorState &)> onState)
    : SharedSourceDuty(parts, SourceKind::Rules, readingSettings()), m_source(source), m_onState(std::move(onState))
{
}

Result<SharedSourceDuty::Task> OperatorStateDuty::read(bool isReader)
{
    const Milliseconds wait = isReader ? readerWait : Milliseconds(0);
    const Clock &clock = loop().clock();
    BOOST_LEAF_AUTO(state, m_source.next(wait, Deadline::after(clock.now(), wait + callTime)));
    // The platform answers a waiting call at the moment to which the answer belongs.
    const TimePoint answeredAt = clock.now();
    return Task([this, current = state, answeredAt] {
        const std::uint64_t digest = digestOf(current);
        const bool isNews = this->state().hasList() && digest != this->state().digest();
        m_onState(current);
        finishRead({ { SourceKind::Rules, digest, answeredAt, {}, isNews ? current.document : std::string() } });
    });
}

void OperatorStateDuty::applyReading(const SourceUpdate &reading)
{
    if (reading.document.empty()) {
        finishTold(reading);
        return;
    }
    {
        const std::lock_guard guard(m_toldMutex);
        m_told = reading;
    }
    wake();
}

std::optional<SharedSourceDuty::Task> OperatorStateDuty::takeTold()
{
    std::optional<SourceUpdate> told;
    {
        const std::lock_guard guard(m_toldMutex);
        told = std::exchange(m_told, std::nullopt);
    }
    if (!told) {
        return std::nullopt;
    }
    const Outcome<std::optional<OperatorState>> adopted = capture([&] {
        return m_source.adopt(told->document);
    });
    return Task([this, reading = std::move(*told), adopted] {
        if (adopted && adopted.value()) {
            m_onState(*adopted.value());
            state().setDigest(digestOf(*adopted.value()));
        }
        finishTold(reading);
    });
}

} // namespace Sapphire
