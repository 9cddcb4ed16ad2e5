#include <LibFleet/FleetWithdrawalSpreader.h>

namespace Sapphire {

namespace {

constexpr Milliseconds popTimeout { 200 };

}

FleetWithdrawalSpreader::FleetWithdrawalSpreader(FleetClient &client, const Membership &membership, const Clock &clock,
                                                 FleetWithdrawalSpreaderSettings settings)
    : m_client(client)
    , m_membership(membership)
    , m_clock(clock)
    , m_settings(settings)
    , m_selection(membership.self().vm, membership.locality())
    , m_queue(settings.queueLimit)
    , m_thread(&FleetWithdrawalSpreader::run, this)
{
}

FleetWithdrawalSpreader::~FleetWithdrawalSpreader()
{
    m_queue.close();
    m_thread.join();
}

std::size_t FleetWithdrawalSpreader::spread(const std::set<KeyId> &keys, Deadline deadline)
{
    std::vector<VmId> vms;
    for (const PeerCandidate &peer : m_selection.peers(m_membership.candidates(m_clock.now()), 0)) {
        vms.push_back(peer.vm);
    }
    return m_client.withdraw(vms, keys, deadline);
}

void FleetWithdrawalSpreader::forward(std::set<KeyId> keys)
{
    // NOTE: If the queue is full, the keys are not lost, since each statement of this VM contains them too.
    static_cast<void>(m_queue.tryPush(std::move(keys)));
}

void FleetWithdrawalSpreader::run()
{
    while (true) {
        std::optional<std::set<KeyId>> keys = m_queue.pop(popTimeout);
        if (!keys) {
            if (m_queue.isClosed()) {
                return;
            }
            continue;
        }
        while (m_queue.count() > 0) {
            std::optional<std::set<KeyId>> more = m_queue.pop(Milliseconds(0));
            if (more) {
                keys->merge(*more);
            }
        }
        spread(*keys, Deadline::after(m_clock.now(), m_settings.forwardTimeout));
    }
}

} // namespace Sapphire
