#pragma once

#include <LibFleet/ExchangeBuilder.h>
#include <LibFleet/FleetClient.h>
#include <LibFleet/FleetWithdrawalSpreader.h>
#include <LibFleet/PeerSelection.h>
#include <LibFleet/SnapshotExchange.h>

#include <atomic>
#include <map>
#include <thread>

namespace Sapphire {

/// What the gossiper works with. All must outlive it.
struct GossiperParts
{
    FleetClient &client;
    ExchangeBuilder &exchange;
    Membership &membership;
    ConfigurationExchange &configuration;
    SnapshotExchange &snapshots;
    FleetWithdrawalSpreader &withdrawals;
    const Clock &clock;
};

struct GossiperSettings
{
    PeerSelectionSettings selection {};
    Milliseconds callTimeout { 800 }; ///< Below the interval of one second between rounds.
    int failuresBeforeAvoidance { 3 }; ///< Consecutive failed pulls after which another VM is pulled from instead.
    Milliseconds avoidanceTime { 10'000 }; ///< Since the last failed pull.
    Milliseconds snapshotTimeout { 10'000 }; ///< For fetching a snapshot.
};

/// Runs the rounds of the gossip exchange, in which this VM pulls from its peers, once a second. tick() is called by
/// the gossip thread only.
class Gossiper
{
public:
    explicit Gossiper(const GossiperParts &parts, GossiperSettings settings = {});
    /// Waits for a snapshot that is being fetched, at most for its timeout.
    ~Gossiper();

    /// Pulls from all peers in parallel and merges their responses. Takes the call timeout at most.
    void tick(TimePoint now);
    /// Pushes withdrawals to the peers and returns the number of peers that acknowledged. Safe to call from any thread.
    std::size_t spreadWithdrawals(const std::set<KeyId> &keys, Deadline deadline);

private:
    struct Failures
    {
        int count { 0 };
        TimePoint lastAt {};
    };

    std::vector<PeerCandidate> choosePeers(TimePoint now) const;
    void noteAnswered(const VmId &vm);
    void noteUnanswered(const std::vector<VmId> &vms, TimePoint now);
    /// Fetches a configuration snapshot on another thread, unless one is being fetched already.
    void fetchSnapshot(const VmId &vm, TimePoint now);

    const GossiperParts m_parts;
    const GossiperSettings m_settings;
    const PeerSelection m_selection;
    std::uint64_t m_round { 0 };
    std::map<VmId, Failures> m_failures;
    std::atomic<bool> m_isFetching { false };
    std::thread m_fetcher;
};

} // namespace Sapphire
