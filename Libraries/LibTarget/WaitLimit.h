#pragma once

#include <LibCore/Deadline.h>
#include <LibExchange/RequestHandler.h>

namespace Sapphire {

/// What ends the waiting for a target.
struct WaitLimit
{
    Deadline deadline;
    const AnswerSink *sink { nullptr }; ///< Asked at least every 100 ms whether the caller is gone; may be null.
};

} // namespace Sapphire
