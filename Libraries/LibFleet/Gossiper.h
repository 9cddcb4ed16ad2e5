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

/// What the gossip works on. All must outlive it.
struct GossipDutyParts
{
    FleetClient &client;
    ExchangeBuilder &exchange;
    Membership &membership;
    ConfigurationExchange &configuration;
    SnapshotExchange &snapshots;
    FleetWithdrawalSpreader &withdrawals;
    const Clock &clock;
};

struct GossipDutySettings
{
    PeerSelectionSettings selection {};
    Milliseconds callTimeout { 800 }; ///< Below the interval of one second between rounds.
    int failuresBeforeAvoidance { 3 }; ///< Failed pulls in a row, after which another VM is pulled from.
    Milliseconds avoidance { 10'000 };
    Milliseconds snapshotTimeout { 10'000 };
};

/// Pulls from the peers once a second. Its tick() is called by the gossip thread only.
class Gossiper
{
public:
    explicit Gossiper(const GossipDutyParts &parts, GossipDutySettings settings = {});
    /// Waits for a snapshot that is being fetched, at most for its timeout.
    ~Gossiper();

    /// Pulls from all peers at the same time and merges what they say. Takes the call timeout at most.
    void tick(TimePoint now);
    /// Pushes withdrawals to the peers and returns the number that acknowledged. From any thread.
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
    void fetchSnapshot(const VmId &vm, TimePoint now);

    const GossipDutyParts m_parts;
    const GossipDutySettings m_settings;
    const PeerSelection m_selection;
    std::uint64_t m_round { 0 };
    std::map<VmId, Failures> m_failures;
    std::atomic<bool> m_isFetching { false };
    std::thread m_fetcher;
};

} // namespace Sapphire
