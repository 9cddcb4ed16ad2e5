#pragma once

#include <LibExchange/RequestHandler.h>

#include <optional>
#include <string_view>

namespace Sapphire {

/// How an attempt at a target ended, classified by what it shows about the target.
enum class AttemptEnd {
    Answered, ///< The whole answer arrived and went to the sink.
    Shed, ///< The target rejected the request because it is at capacity.
    ConnectFailed,
    ConnectionLost, ///< Reset or closed before any byte of the answer.
    Silent, ///< No answer before the deadline.
    AnswerCut, ///< The answer was incomplete or malformed.
    OwnLimit, ///< This VM's connection limit for the target is reached.
    CallerEnded, ///< The caller disconnected, its body failed or its request is invalid; not related to the target.
};

std::string_view nameOf(AttemptEnd end);

/// The result of one attempt.
struct AttemptReport
{
    ExchangeReport exchange;
    AttemptEnd end { AttemptEnd::CallerEnded };
    int status { 0 }; ///< Of the answer; 0 if there was none.
    Microseconds latency {}; ///< From the end of the request to the head of the answer; zero if there was none.
    TimePoint sentAt {}; ///< When the first byte was sent; the epoch if none was.
    bool wasReused { false }; ///< Whether the connection had served an earlier request.
    /// Until when the target wants no requests; set if it answered 503 with a Retry-After header that can be read.
    std::optional<Deadline> pausedUntil {};
};

} // namespace Sapphire
