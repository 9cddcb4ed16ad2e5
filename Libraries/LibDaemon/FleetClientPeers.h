#pragma once

#include <LibCaller/FleetPeers.h>
#include <LibFleet/FleetClient.h>

namespace Sapphire {

/// Forwards requests to other VMs and asks them for the states of requests, through the fleet client.
class FleetClientPeers final : public FleetPeers
{
public:
    explicit FleetClientPeers(FleetClient &client);

    ExchangeReport forward(const VmId &vm, const RequestHead &head, BodySource &body, AnswerSink &sink) override;
    Result<RequestRecord> requestState(const VmIncarnation &process, const RequestKey &key, Deadline deadline) override;

private:
    FleetClient &m_client;
};

} // namespace Sapphire
