#include <LibDaemon/LedgerStateSource.h>

#include <LibRequest/IssuedRequestId.h>

namespace Sapphire {

namespace {

RemoteRequestStateKind kindOf(RequestState state)
{
    switch (state) {
    case RequestState::NotRun:
        return RemoteRequestStateKind::NotRun;
    case RequestState::Running:
        return RemoteRequestStateKind::Running;
    case RequestState::Ran:
        return RemoteRequestStateKind::Ran;
    case RequestState::MayHaveRun:
        break;
    }
    return RemoteRequestStateKind::MayHaveRun;
}

} // namespace

LedgerStateSource::LedgerStateSource(RequestLedger &ledger, VmIncarnation process, const Clock &clock)
    : m_ledger(ledger), m_process(std::move(process)), m_clock(clock)
{
}

Result<RemoteRequestState> LedgerStateSource::requestState(const CustomerId &customer, const RequestId &id)
{
    const RequestKey key { customer, id };
    const std::optional<IssuedRequestId> issued = IssuedRequestId::parse(id);
    const bool isOwn = issued && issued->issuer() == m_process;
    std::optional<RequestRecord> record = m_ledger.stateInMemory(key);
    if (!record && isOwn) {
        record = m_ledger.state(key, Deadline::after(m_clock.now(), Milliseconds(200)));
    }
    if (!record) {
        return fail(ErrorCode::NotFound, "this process does not know the request id");
    }
    return RemoteRequestState { kindOf(record->state), record->toJson() };
}

} // namespace Sapphire
