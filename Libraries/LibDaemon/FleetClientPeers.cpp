#include <LibDaemon/FleetClientPeers.h>

namespace Sapphire {

FleetClientPeers::FleetClientPeers(FleetClient &client) : m_client(client)
{
}

ExchangeReport FleetClientPeers::forward(const VmId &vm, const RequestHead &head, BodySource &body, AnswerSink &sink)
{
    return m_client.forward(vm)->handle(head, body, sink);
}

Result<RequestRecord> FleetClientPeers::requestState(const VmIncarnation &process, const RequestKey &key,
                                                     Deadline deadline)
{
    BOOST_LEAF_AUTO(remote, m_client.requestState(process.vm, key.customer, key.id, deadline));
    if (!remote.result.empty()) {
        return RequestRecord::fromJson(remote.result);
    }
    RequestRecord record;
    record.holder = process;
    switch (remote.kind) {
    case RemoteRequestStateKind::NotRun:
        record.state = RequestState::NotRun;
        break;
    case RemoteRequestStateKind::Running:
        record.state = RequestState::Running;
        break;
    case RemoteRequestStateKind::Ran:
        record.state = RequestState::Ran;
        break;
    case RemoteRequestStateKind::MayHaveRun:
        record.state = RequestState::MayHaveRun;
        break;
    }
    return record;
}

} // namespace Sapphire
