#pragma once

#include <LibFleet/RequestStateSource.h>
#include <LibRequest/RequestLedger.h>

namespace Sapphire {

/// Answers other VMs' queries for the state of a request id from this VM's ledger.
class LedgerStateSource final : public RequestStateSource
{
public:
    LedgerStateSource(RequestLedger &ledger, VmIncarnation process, const Clock &clock);

    Result<RemoteRequestState> requestState(const CustomerId &customer, const RequestId &id) override;

private:
    RequestLedger &m_ledger;
    VmIncarnation m_process;
    const Clock &m_clock;
};

} // namespace Sapphire
