#pragma once

#include <LibExchange/Refusal.h>
#include <LibNet/HttpServerConnection.h>

namespace Sapphire {

/// Returns the HTTP status of the answer with the refusal. Statuses that promise that the request has not run (408,
/// 421, 429, 503) are used only with the verdict NotRun.
int statusOf(const Refusal &refusal);

/// Returns the head of the answer, with a Retry-After header if the refusal says when to come back.
HttpAnswerHead headOf(const Refusal &refusal, TimePoint now);

} // namespace Sapphire
