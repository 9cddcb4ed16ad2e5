#pragma once

#include <LibExchange/RequestHandler.h>
#include <LibSteering/TargetReport.h>

#include <vector>

namespace Sapphire {

/// How a request may be run at the targets of the own region.
struct LocalRunOptions
{
    /// Whether another target may be tried after one that surely didn't run the request.
    bool mayRetry { true };
    /// Identity of the request for the search for requests that crash targets.
    Fingerprint fingerprint {};
};

/// The targets of this VM's region.
class LocalTargets
{
public:
    virtual ~LocalTargets() = default;

    virtual ExchangeReport run(const RequestHead &head, BodySource &body, AnswerSink &sink,
                               const LocalRunOptions &options) = 0;
};

} // namespace Sapphire
