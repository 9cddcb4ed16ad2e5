#include <LibPlatform/EpochTracker.h>

#include <LibPlatform/PlatformEvents.h>

#include <charconv>
#include <utility>

namespace Sapphire {

namespace {

std::optional<SourceEpoch> parseEpoch(const std::string &text)
{
    std::uint64_t number = 0;
    const char *const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return SourceEpoch(number);
}

} // namespace

Result<SourceEpoch> EpochTracker::take(const std::optional<std::string> &text)
{
    const std::lock_guard guard(m_mutex);
    const Outcome<SourceEpoch> epoch = capture([&] {
        return check(text);
    });
    if (!epoch) {
        if (!std::exchange(m_isInvalid, true)) {
            logEvent(platformEpochInvalid, { { "reason", epoch.error().message }, { "newest", m_newest } });
        }
        return fail(epoch.error());
    }
    m_isInvalid = false;
    const SourceEpoch before = std::exchange(m_newest, epoch.value());
    if (m_newest > before && before != SourceEpoch()) {
        logEvent(platformRestored, { { "epoch", m_newest }, { "before", before } });
    }
    return m_newest;
}

Result<SourceEpoch> EpochTracker::check(const std::optional<std::string> &text) const
{
    if (!text) {
        return m_newest == SourceEpoch() ? Result<SourceEpoch>(m_newest)
                                         : fail(ErrorCode::DataLoss, "the platform's answer has no epoch");
    }
    const std::optional<SourceEpoch> epoch = parseEpoch(*text);
    if (!epoch) {
        return fail(ErrorCode::DataLoss, "the platform's epoch is no number: " + *text);
    }
    if (*epoch < m_newest) {
        return fail(ErrorCode::DataLoss,
                    "the platform's epoch fell from " + std::to_string(m_newest.value()) + " to " + *text);
    }
    return *epoch;
}

} // namespace Sapphire
