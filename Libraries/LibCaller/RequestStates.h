#pragma once

#include <LibCaller/FleetPeers.h>
#include <LibRequest/RequestLedger.h>

namespace Sapphire {

/// Finds out what became of a request id: from memory, from the VM that holds it, or from the table.
class RequestStates
{
public:
    RequestStates(RequestLedger &ledger, FleetPeers &peers, VmIncarnation process);

    /// Returns the state, MayHaveRun if it can't be known before the deadline.
    RequestRecord find(const RequestKey &key, Deadline deadline);

private:
    RequestLedger &m_ledger;
    FleetPeers &m_peers;
    VmIncarnation m_process;
};

} // namespace Sapphire
