#pragma once

#include <LibExchange/RequestHandler.h>
#include <LibSteering/TargetReport.h>

#include <vector>

namespace Sapphire {

/// Options for running a request at the targets of the own region.
struct LocalRunOptions
{
    /// Whether another target may be tried after a failed attempt that is safe to repeat.
    bool mayRetry { true };
    /// Identity of the request for detecting requests that crash targets.
    Fingerprint fingerprint {};
};

/// Interface to the targets of this VM's region.
class LocalTargets
{
public:
    virtual ~LocalTargets() = default;

    virtual ExchangeReport run(const RequestHead &head, BodySource &body, AnswerSink &sink,
                               const LocalRunOptions &options) = 0;
};

} // namespace Sapphire
