#pragma once

#include <LibPeer/CrashSuspectGossip.h>
#include <LibPeer/DemandTracker.h>
#include <LibPeer/DocumentParts.h>
#include <LibPeer/LoanBroker.h>
#include <LibPeer/PeerSocket.h>
#include <LibPeer/SourceUpdatePeers.h>
#include <LibSteering/TargetReport.h>

#include <Peer.pb.h>

#include <memory>
#include <set>

namespace Sapphire {

/// The VMs of a deployment among themselves: those of one region tell each other that they live, and all lend tokens.
class PeerNetwork final : public SourceUpdatePeers
{
public:
    /// Fails with Unavailable if the address can't be used. Roster and quotas must outlive it.
    [[nodiscard]] static Result<std::unique_ptr<PeerNetwork>> create(EventLoop &loop, const VmRecord &own,
                                                                     VmRoster &roster, QuotaBook &quotas);

    /// Takes the complete list of VMs.
    void applyRecords(const std::vector<VmRecord> &records);
    /// Tells the other VMs that this one is stopping.
    void leave();
    /// Sets a function that is called when a VM speaks that is not in the list.
    void onUnknownSender(std::function<void()> callback)
    {
        m_onUnknownSender = std::move(callback);
    }
    void setReadable(SourceKind list, bool isReadable) override;
    void broadcastUpdate(const SourceUpdate &update) override;
    void sendToRelays(const SourceUpdate &update, std::string_view list) override;
    void requestTargetSync(const VmId &vm, const ShortDigests &digests) override;
    void sendTargetSyncReply(const VmId &vm, const TargetSyncReply &syncReply) override;
    /// Sets a function that answers a VM that lacks targets.
    void onTargetSyncRequest(std::function<void(const VmId &, const ShortDigests &)> callback)
    {
        m_onTargetSyncRequest = std::move(callback);
    }
    /// Sets a function that takes the answer to requestTargetSync().
    void onTargetSyncReply(std::function<void(const TargetSyncReply &)> callback)
    {
        m_onTargetSyncReply = std::move(callback);
    }
    /// Sets a function that takes what VMs of the own region have read.
    void onUpdate(std::function<void(const SourceUpdate &)> callback)
    {
        m_onUpdate = std::move(callback);
    }
    /// Tells all other VMs of a request that makes targets fail.
    void broadcastSuspect(const CrashSuspect &suspect);
    /// Sets a function that takes what other VMs tell of such requests.
    void onSuspect(std::function<void(const CrashSuspect &)> callback)
    {
        m_onSuspect = std::move(callback);
    }
    /// Sets where the demand of this VM's callers is known from.
    void setDemandProvider(std::function<ServiceDemands()> provider)
    {
        m_demandProvider = std::move(provider);
    }
    const DemandTracker &demands() const
    {
        return m_demands;
    }
    LoanBroker &loans()
    {
        return m_loans;
    }
    /// Sets a function that is called when tokens may have come.
    void onTokens(std::function<void()> callback)
    {
        m_onTokens = std::move(callback);
    }

private:
    PeerNetwork(EventLoop &loop, VmRecord own, VmRoster &roster, QuotaBook &quotas);

    void receive(const Poco::Net::SocketAddress &sender, std::string_view bytes);
    void takePresence(const VmRecord &sender, const peer::Datagram &datagram);
    void takeLoans(const VmRecord &sender, const peer::Datagram &datagram);
    /// What a VM does about once a second.
    void announce();
    void sendHeartbeat();
    /// Tells all VMs of the region at once what has changed in this one's presence.
    void broadcastPresence();
    void takeUpdate(const VmRecord &sender, const peer::Reading &message);
    void takeTargets(const VmRecord &sender, const peer::Datagram &datagram);
    void sendTo(const RegionId &region, const peer::Datagram &datagram);
    /// Sends what was read to all VMs of the own region: in a large one to a VM of each other availability zone, which
    /// passes it on, since bytes between zones have a price.
    void sendUpdate(const peer::Datagram &datagram);
    /// Sends the readings of another VM's datagram to the other VMs of the own availability zone, under that VM's name.
    void forward(const VmRecord &sender, const peer::Datagram &datagram);
    void reportDemands();
    void checkSilence();
    /// Notices that the own process was paused.
    void detectPause();
    void reportSilent(const std::vector<VmId> &vms);
    void sendSuspects(const std::vector<CrashSuspect> &suspects);
    peer::Datagram presence() const;
    void send(const VmRecord &peer, const peer::Datagram &datagram);
    /// Encodes the datagram once for all of them.
    void sendToAll(const std::vector<VmRecord> &peers, const peer::Datagram &datagram);

    EventLoop &m_loop;
    VmRecord m_own;
    VmRoster &m_roster;
    LoanBroker m_loans;
    DemandTracker m_demands;
    std::function<ServiceDemands()> m_demandProvider { [] {
        return ServiceDemands();
    } };
    std::size_t m_demandReports { 0 }; ///< Sent to other regions.
    std::unique_ptr<PeerSocket> m_socket;
    Timer m_heartbeat;
    Timer m_suspectTimer;
    Timer m_loanTimer;
    std::function<void()> m_onTokens { [] {} };
    std::function<void()> m_onUnknownSender { [] {} };
    std::function<void(const SourceUpdate &)> m_onUpdate { [](const SourceUpdate &) {} };
    std::function<void(const VmId &, const ShortDigests &)> m_onTargetSyncRequest { [](const VmId &,
                                                                                       const ShortDigests &) {} };
    std::function<void(const TargetSyncReply &)> m_onTargetSyncReply { [](const TargetSyncReply &) {} };
    std::function<void(const CrashSuspect &)> m_onSuspect { [](const CrashSuspect &) {} };
    CrashSuspectGossip m_suspectGossip;
    std::set<SourceKind> m_unreadable; ///< Lists that this VM can't read.
    DocumentParts m_documentParts; ///< Of rules; one VM tells them at a time.
    std::set<VmId> m_announcedTo; ///< To which this VM has announced itself.
    std::set<VmId> m_serving; ///< As logged last.
    TimePoint m_silenceCheckedAt {};
    TimePoint m_lastActiveAt {}; ///< When the process last did something here; timers see to it many times a second.
    Deadline m_backlogUntil; ///< From when on datagrams are no longer those of a pause.
    Deadline m_silenceUnreliableUntil; ///< When a living VM has been heard again after a pause of this one.
    std::uint64_t m_rejected { 0 };
};

} // namespace Sapphire
