#pragma once

#include <LibExchange/RequestHandler.h>

#include <string_view>

namespace Sapphire {

/// How one attempt at one target ended, as far as it says something about the target.
enum class AttemptEnd {
    Answered, ///< The whole answer arrived and went to the sink.
    Shed, ///< The target refused the request since it is full.
    ConnectFailed,
    ConnectionLost, ///< Reset or closed before any byte of the answer.
    Silent, ///< No answer before the deadline.
    AnswerCut, ///< The answer ended too early or was malformed.
    OwnLimit, ///< This VM uses all connections that it may have to the target.
    CallerEnded, ///< The caller went away, its body failed or its request is invalid; says nothing of the target.
};

std::string_view nameOf(AttemptEnd end);

/// What ServiceTargets learns from one attempt.
struct AttemptReport
{
    ExchangeReport exchange;
    AttemptEnd end { AttemptEnd::CallerEnded };
    int status { 0 }; ///< Of the answer; 0 if there was none.
    Microseconds latency {}; ///< From the end of the request to the head of the answer; zero if there was none.
    TimePoint sentAt {}; ///< When the first byte was sent; the epoch if none was.
    bool wasReused { false }; ///< Whether the connection had served an earlier request.
};

} // namespace Sapphire
