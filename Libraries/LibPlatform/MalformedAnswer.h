#pragma once

#include <LibCore/Result.h>
#include <LibPlatform/PlatformEvents.h>

#include <string>
#include <utility>

namespace Sapphire {

/// Returns the value that was parsed from an answer of the platform. If the parsing failed, logs the fault and fails
/// with Unavailable, since callers can only handle it like an outage.
template<typename T>
[[nodiscard]] Result<T> requireWellFormed(const std::string &what, Outcome<T> parsed)
{
    if (parsed) {
        return std::move(parsed.value());
    }
    logEvent(platformAnswerMalformed, { { "answer", what }, { "fault", parsed.error().message } });
    return fail(ErrorCode::Unavailable, "the platform's " + what + " is malformed: " + parsed.error().message);
}

} // namespace Sapphire
