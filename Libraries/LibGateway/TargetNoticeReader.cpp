#include <LibGateway/TargetNoticeReader.h>

#include <LibCore/Duration.h>
#include <LibExchange/RetryAfter.h>
#include <LibGateway/GatewayEvents.h>

namespace Sapphire {

namespace {

constexpr std::string_view retryAfterName = "Retry-After";
constexpr int statusMisdirected = 421;
constexpr int statusUnavailable = 503;

} // namespace

TargetNoticeReader::TargetNoticeReader(EventLoop &loop, const WireNames &names, Metrics &metrics)
    : m_loop(loop), m_names(names), m_metrics(metrics)
{
}

bool TargetNoticeReader::isTurnedAway(const HttpHead &head)
{
    return head.status == statusUnavailable && head.header(retryAfterName).has_value();
}

void TargetNoticeReader::read(GatewayTarget &target, std::int64_t startedAtMilliseconds, const HttpHead &head,
                              std::string_view source)
{
    if (head.status == statusMisdirected) {
        // Another target has the address now and speaks for itself.
        return;
    }
    if (head.header(m_names.leaving) == "1" && target.noteLeaving(startedAtMilliseconds)) {
        count("leaving");
        logEvent(GatewayEvents::targetLeaving,
                 { { "target", target.id() },
                   { "service", target.entry().service },
                   { "source", source },
                   { "status", head.status },
                   { "inFlight", target.load().inFlight() } });
    }
    if (isTurnedAway(head)) {
        readPause(target, startedAtMilliseconds, head, source);
    }
}

void TargetNoticeReader::readPause(GatewayTarget &target, std::int64_t startedAtMilliseconds, const HttpHead &head,
                                   std::string_view source)
{
    const std::string_view text = *head.header(retryAfterName);
    const RetryAfter pause = readRetryAfter(text, m_loop.now());
    if (pause.reading == RetryAfter::Reading::Unreadable) {
        count("pause-unreadable");
        return;
    }
    if (!target.notices().notePause(startedAtMilliseconds, pause.until)) {
        return;
    }
    const bool isShortened = pause.reading == RetryAfter::Reading::Shortened;
    count(isShortened ? "pause-shortened" : "pause");
    m_paused.insert(&target);
    logEvent(GatewayEvents::targetPaused,
             { { "target", target.id() },
               { "service", target.entry().service },
               { "source", source },
               { "milliseconds", millisecondsBetween(m_loop.now(), pause.until.at()) },
               { "shortened", isShortened } });
}

void TargetNoticeReader::count(std::string_view notice)
{
    m_metrics.counter("sapphire_target_notices_total", "notice=\"" + std::string(notice) + "\"").add();
}

void TargetNoticeReader::logEnds()
{
    std::erase_if(m_paused, [this](const RefPointer<GatewayTarget> &target) {
        if (target->notices().isPaused(m_loop.now())) {
            return false;
        }
        logEvent(GatewayEvents::targetPauseEnded, { { "target", target->id() } });
        return true;
    });
}

} // namespace Sapphire
