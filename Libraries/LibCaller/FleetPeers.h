#pragma once

#include <LibExchange/RequestHandler.h>
#include <LibRequest/RequestRecord.h>

#include <optional>

namespace Sapphire {

/// Interface to other VMs for the handling of requests.
class FleetPeers
{
public:
    virtual ~FleetPeers() = default;

    /// Sends a request to another VM, which runs it at its region's targets or, if it issued the id, like a request of
    /// its own callers.
    virtual ExchangeReport forward(const VmId &vm, const RequestHead &head, BodySource &body, AnswerSink &sink) = 0;
    /// Asks another VM for the state of a request id that it has in memory.
    /// Fails with Unavailable or Timeout, and with NotFound if that VM runs as another incarnation.
    [[nodiscard]] virtual Result<RequestRecord> requestState(const VmIncarnation &process, const RequestKey &key,
                                                             Deadline deadline) = 0;
};

} // namespace Sapphire
