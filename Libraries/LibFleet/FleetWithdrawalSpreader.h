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
    std::size_t queueLimit { 256 }; ///< Withdrawals that wait to be passed on.
    Milliseconds passOnTimeout { 1'000 };
};

/// Pushes withdrawals of keys to the peers at once, ahead of the exchange, which carries them too.
class FleetWithdrawalSpreader final : public WithdrawalSpreader
{
public:
    FleetWithdrawalSpreader(FleetClient &client, const Membership &membership, const Clock &clock,
                            FleetWithdrawalSpreaderSettings settings = {});
    ~FleetWithdrawalSpreader() override;

    /// Pushes the keys to all peers and returns the number of those that acknowledged by the deadline.
    std::size_t spread(const std::set<KeyId> &keys, Deadline deadline) override;
    /// Pushes keys that another VM sent, from a thread of its own. If too many are waiting, these are left to
    /// the exchange.
    void passOn(std::set<KeyId> keys);

private:
    void run();

    FleetClient &m_client;
    const Membership &m_membership;
    const Clock &m_clock;
    const FleetWithdrawalSpreaderSettings m_settings;
    const PeerSelection m_selection;
    BoundedRing<std::set<KeyId>> m_ring;
    std::thread m_thread;
};

} // namespace Sapphire
