#include <LibExchange/Refusal.h>

#include <algorithm>
#include <array>

namespace Sapphire {

namespace {

constexpr std::array<std::string_view, 21> reasonNames {
    "bad-request",     "no-such-service",   "key-rejected",       "not-fresh",          "rate-exceeded",
    "no-capacity",     "no-healthy-target", "shift-cap",          "draining",           "deadline-too-short",
    "deadline-passed", "store-unavailable", "request-id-in-use",  "issuer-unreachable", "suspected-crash",
    "target-failed",   "answer-cut",        "retry-budget-spent", "cancelled",          "too-large",
    "internal",
};

}

std::string_view nameOf(RefusalReason reason)
{
    return reasonNames.at(static_cast<std::size_t>(reason));
}

std::optional<RefusalReason> refusalReasonFromString(std::string_view text)
{
    const auto *const found = std::find(reasonNames.begin(), reasonNames.end(), text);
    if (found == reasonNames.end()) {
        return std::nullopt;
    }
    return static_cast<RefusalReason>(found - reasonNames.begin());
}

RefusalReason refusalReasonOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::Cancelled:
        return RefusalReason::Cancelled;
    case ErrorCode::Timeout:
        return RefusalReason::DeadlinePassed;
    case ErrorCode::ResourceExhausted:
        return RefusalReason::TooLarge;
    case ErrorCode::InvalidArgument:
        return RefusalReason::BadRequest;
    default:
        return RefusalReason::Internal;
    }
}

} // namespace Sapphire
