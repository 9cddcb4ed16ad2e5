#include <LibCaller/RequestStates.h>

#include <LibRequest/IssuedRequestId.h>

namespace Sapphire {

RequestStates::RequestStates(RequestLedger &ledger, FleetPeers &peers, VmIncarnation process)
    : m_ledger(ledger), m_peers(peers), m_process(std::move(process))
{
}

RequestRecord RequestStates::find(const RequestKey &key, Deadline deadline)
{
    const std::optional<IssuedRequestId> issued = IssuedRequestId::parse(key.id);
    if (issued && issued->issuer() != m_process) {
        Outcome<RequestRecord> asked = capture([&] {
            return m_peers.requestState(issued->issuer(), key, deadline);
        });
        if (asked) {
            return std::move(asked.value());
        }
        return m_ledger.state(key, deadline);
    }
    RequestRecord record = m_ledger.state(key, deadline);
    if (record.state == RequestState::MayHaveRun && !record.holder.vm.isEmpty() && record.holder != m_process) {
        // The table row says that another process claimed the id; that process may know how the request ended.
        Outcome<RequestRecord> asked = capture([&] {
            return m_peers.requestState(record.holder, key, deadline);
        });
        if (asked && asked.value().state != RequestState::NotRun) {
            return std::move(asked.value());
        }
    }
    return record;
}

} // namespace Sapphire
