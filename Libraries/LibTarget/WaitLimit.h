#pragma once

#include <LibCore/Deadline.h>
#include <LibExchange/RequestHandler.h>

namespace Sapphire {

/// Limits how long an operation waits for a target.
struct WaitLimit
{
    Deadline deadline;
    const AnswerSink *sink { nullptr }; ///< Checked at least every 100 ms for whether the caller is gone; may be null.
};

} // namespace Sapphire
