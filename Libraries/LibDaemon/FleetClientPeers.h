#pragma once

#include <LibCaller/FleetPeers.h>
#include <LibFleet/FleetClient.h>

namespace Sapphire {

/// Calls other VMs for the handling of requests.
class PeerCalls final : public FleetPeers
{
public:
    explicit PeerCalls(FleetClient &client);

    ExchangeReport forward(const VmId &vm, const RequestHead &head, BodySource &body, AnswerSink &sink) override;
    Result<RequestRecord> requestState(const VmIncarnation &process, const RequestKey &key, Deadline deadline) override;

private:
    FleetClient &m_client;
};

} // namespace Sapphire
