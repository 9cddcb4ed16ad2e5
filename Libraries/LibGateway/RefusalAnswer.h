#pragma once

#include <LibExchange/Refusal.h>
#include <LibNet/HttpServerConnection.h>

namespace Sapphire {

/// Returns the status of the answer that tells a caller of a refusal. Those that promise that the request has not run
/// (408, 421, 429, 503) are given only with the verdict NotRun.
int statusOf(const Refusal &refusal);

/// Returns the head of the answer, with a Retry-After if the refusal says when to come back.
HttpAnswerHead headOf(const Refusal &refusal, TimePoint now);

} // namespace Sapphire
