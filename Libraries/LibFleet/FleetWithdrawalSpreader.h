#pragma once

#include <LibConfiguration/WithdrawalSpreader.h>
#include <LibCore/BoundedRing.h>
#include <LibCore/Clock.h>
#include <LibFleet/FleetClient.h>
#include <LibFleet/PeerSelection.h>

#include <thread>

namespace Sapphire {

struct FleetWithdrawalSpreaderSettings
{
    std::size_t queueLimit { 256 }; ///< Sets of withdrawn keys that wait to be forwarded.
    Milliseconds forwardTimeout { 1'000 }; ///< For the calls to all peers.
};

/// Pushes withdrawals of API keys to the peers immediately. The gossip exchange carries them too, but later.
class FleetWithdrawalSpreader final : public WithdrawalSpreader
{
public:
    FleetWithdrawalSpreader(FleetClient &client, const Membership &membership, const Clock &clock,
                            FleetWithdrawalSpreaderSettings settings = {});
    ~FleetWithdrawalSpreader() override;

    /// Pushes the keys to all peers and returns the number of peers that acknowledged by the deadline.
    std::size_t spread(const std::set<KeyId> &keys, Deadline deadline) override;
    /// Queues keys that another VM sent; a thread of this object pushes them to the peers. If the queue is full, the
    /// keys spread by the exchange only.
    void forward(std::set<KeyId> keys);

private:
    void run();

    FleetClient &m_client;
    const Membership &m_membership;
    const Clock &m_clock;
    const FleetWithdrawalSpreaderSettings m_settings;
    const PeerSelection m_selection;
    BoundedRing<std::set<KeyId>> m_queue;
    std::thread m_thread;
};

} // namespace Sapphire
