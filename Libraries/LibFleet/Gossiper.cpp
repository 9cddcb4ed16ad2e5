#include <LibFleet/Gossiper.h>

#include <LibCore/EventLog.h>
#include <LibFleet/FleetEvents.h>
#include <LibFleet/WireCodec.h>

namespace Sapphire {

namespace {

/// Rounds between clean-ups of unused records and channels.
constexpr std::uint64_t roundsPerCleanup = 16;

} // namespace

Gossiper::Gossiper(const GossiperParts &parts, GossiperSettings settings)
    : m_parts(parts)
    , m_settings(settings)
    , m_selection(parts.membership.self().vm, parts.membership.locality(), settings.selection)
{
}

Gossiper::~Gossiper()
{
    if (m_fetcher.joinable()) {
        m_fetcher.join();
    }
}

void Gossiper::tick(TimePoint now)
{
    std::vector<std::pair<VmId, wire::ExchangeRequest>> requests;
    for (const PeerCandidate &peer : choosePeers(now)) {
        requests.emplace_back(peer.vm, m_parts.exchange.request(peer, now));
    }
    std::optional<VmId> snapshotSource;
    const auto take = [&](const VmId &vm, const wire::ExchangeResponse &response) {
        const Outcome<bool> isSnapshotNeeded = capture([&] {
            return m_parts.exchange.takeResponse(vm, response, now, m_parts.clock.now());
        });
        if (!isSnapshotNeeded) {
            logEvent(fleetMessageRejected,
                     { { "call", "Exchange" }, { "vm", vm }, { "fault", isSnapshotNeeded.error().message } });
            return;
        }
        noteAnswered(vm);
        if (isSnapshotNeeded.value()) {
            snapshotSource = vm;
        }
    };
    noteUnanswered(m_parts.client.exchange(requests, Deadline::after(now, m_settings.callTimeout), take), now);
    if (snapshotSource) {
        fetchSnapshot(*snapshotSource, now);
    }
    ++m_round;
    if (m_round % roundsPerCleanup == 0) {
        m_parts.exchange.forgetUnused(now);
        m_parts.client.closeIdle(now);
        std::erase_if(m_failures, [&](const auto &item) {
            return now - item.second.lastAt > m_settings.avoidanceTime;
        });
    }
}

std::size_t Gossiper::spreadWithdrawals(const std::set<KeyId> &keys, Deadline deadline)
{
    return m_parts.withdrawals.spread(keys, deadline);
}

std::vector<PeerCandidate> Gossiper::choosePeers(TimePoint now) const
{
    std::vector<PeerCandidate> candidates = m_parts.membership.candidates(now);
    for (PeerCandidate &candidate : candidates) {
        const auto failures = m_failures.find(candidate.vm);
        // A VM that this one can't reach is avoided as a peer like a suspect, even if other VMs hear from it.
        if (failures != m_failures.end() && failures->second.count >= m_settings.failuresBeforeAvoidance
            && now - failures->second.lastAt < m_settings.avoidanceTime) {
            candidate.isSuspect = true;
        }
    }
    return m_selection.peers(candidates, m_round);
}

void Gossiper::noteAnswered(const VmId &vm)
{
    m_failures.erase(vm);
}

void Gossiper::noteUnanswered(const std::vector<VmId> &vms, TimePoint now)
{
    for (const VmId &vm : vms) {
        Failures &failures = m_failures[vm];
        ++failures.count;
        failures.lastAt = now;
    }
}

void Gossiper::fetchSnapshot(const VmId &vm, TimePoint now)
{
    if (m_isFetching.exchange(true)) {
        return;
    }
    if (m_fetcher.joinable()) {
        m_fetcher.join();
    }
    const ConfigurationVersion own = m_parts.configuration.ownStatement(now).version;
    m_fetcher = std::thread([this, vm, own, deadline = Deadline::after(now, m_settings.snapshotTimeout)] {
        const Outcome<ConfigurationVersion> fetched = capture([&]() -> Result<ConfigurationVersion> {
            BOOST_LEAF_AUTO(snapshot, m_parts.client.snapshot(vm, own, deadline));
            BOOST_LEAF_CHECK(m_parts.snapshots.takeSnapshot(snapshot));
            return snapshot.version;
        });
        if (fetched) {
            logEvent(fleetSnapshotFetched, { { "vm", vm }, { "version", fetched.value() } });
        } else {
            logEvent(fleetSnapshotFailed, { { "vm", vm }, { "fault", fetched.error().message } });
        }
        m_isFetching = false;
    });
}

} // namespace Sapphire
