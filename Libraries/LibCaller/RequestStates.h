#pragma once

#include <LibCaller/FleetPeers.h>
#include <LibRequest/RequestLedger.h>

namespace Sapphire {

/// Determines the state of a request id: from memory, from the VM that issued or claimed it, or from the table.
class RequestStates
{
public:
    RequestStates(RequestLedger &ledger, FleetPeers &peers, VmIncarnation process);

    /// Returns the state, or MayHaveRun if it can't be determined before the deadline.
    RequestRecord find(const RequestKey &key, Deadline deadline);

private:
    RequestLedger &m_ledger;
    FleetPeers &m_peers;
    VmIncarnation m_process;
};

} // namespace Sapphire
