#pragma once

#include <LibFleet/RequestStateSource.h>
#include <LibRequest/RequestLedger.h>

namespace Sapphire {

/// Tells other VMs what this VM's ledger knows of a request id.
class LedgerStates final : public RequestStateSource
{
public:
    LedgerStates(RequestLedger &ledger, VmIncarnation process, const Clock &clock);

    Result<RemoteRequestState> requestState(const CustomerId &customer, const RequestId &id) override;

private:
    RequestLedger &m_ledger;
    VmIncarnation m_process;
    const Clock &m_clock;
};

} // namespace Sapphire
