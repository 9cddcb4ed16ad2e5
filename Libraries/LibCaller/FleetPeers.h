#pragma once

#include <LibExchange/RequestHandler.h>
#include <LibRequest/RequestRecord.h>

#include <optional>

namespace Sapphire {

/// Other VMs, as the handling of requests needs them.
class FleetPeers
{
public:
    virtual ~FleetPeers() = default;

    /// Sends a request to another VM, which runs it at its targets or, if it issued the id, as its own.
    virtual ExchangeReport forward(const VmId &vm, const RequestHead &head, BodySource &body, AnswerSink &sink) = 0;
    /// Asks another VM for what it has in memory about a request id.
    /// Fails with Unavailable or Timeout, and with NotFound if that VM runs as another incarnation.
    [[nodiscard]] virtual Result<RequestRecord> requestState(const VmIncarnation &process, const RequestKey &key,
                                                             Deadline deadline) = 0;
};

} // namespace Sapphire
