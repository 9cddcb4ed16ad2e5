#include <LibGateway/RefusalAnswer.h>

#include <array>
#include <cstdio>

namespace Sapphire {

namespace {

constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

int statusWhenNotRun(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::BadRequest:
        return 400;
    case RefusalReason::KeyRejected:
        return 401;
    case RefusalReason::NoSuchService:
        return 404;
    case RefusalReason::TooLarge:
        return 413;
    case RefusalReason::RateExceeded:
        return 429;
    default:
        return statusUnavailable;
    }
}

/// Returns the time in seconds with three decimals.
std::string secondsText(Microseconds time)
{
    std::array<char, 32> text;
    const double seconds = std::chrono::duration<double>(time).count();
    const int length = std::snprintf(text.data(), text.size(), "%.3f", seconds);
    return { text.data(), static_cast<std::size_t>(length) };
}

} // namespace

int statusOf(const Refusal &refusal)
{
    if (refusal.verdict == Verdict::NotRun) {
        return statusWhenNotRun(refusal.reason);
    }
    return refusal.reason == RefusalReason::DeadlinePassed ? statusGatewayTimeout : statusBadGateway;
}

HttpAnswerHead headOf(const Refusal &refusal, TimePoint now)
{
    HttpAnswerHead head;
    head.status = statusOf(refusal);
    head.headers.push_back({ "Sapphire-Verdict", std::string(nameOf(refusal.verdict)) });
    head.headers.push_back({ "Sapphire-Reason", std::string(nameOf(refusal.reason)) });
    if (refusal.retryAt) {
        head.headers.push_back({ "Retry-After", secondsText(refusal.retryAt->remaining(now)) });
    }
    return head;
}

} // namespace Sapphire
