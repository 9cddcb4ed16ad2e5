#pragma once

#include <LibPeer/CrashSuspectGossip.h>
#include <LibPeer/DatagramPacer.h>
#include <LibPeer/DemandTracker.h>
#include <LibPeer/DocumentParts.h>
#include <LibPeer/LoanBroker.h>
#include <LibPeer/PeerSocket.h>
#include <LibPeer/SourceUpdatePeers.h>
#include <LibSteering/FanOut.h>
#include <LibSteering/TargetReport.h>

#include <Peer.pb.h>

#include <memory>
#include <set>

namespace Sapphire {

/// What a VM has sent to the others and received from them, since its process started.
struct PeerStatistics
{
    std::uint64_t sentBytes { 0 }; ///< Of datagrams that the kernel has accepted.
    std::uint64_t refusedDatagrams { 0 }; ///< By the kernel, or because too many were waiting.
    std::uint64_t sentDocuments { 0 }; ///< Copies of documents, one for each receiver.
    std::uint64_t receivedDocuments { 0 };
    std::uint64_t lostDocuments { 0 }; ///< Of which at least one part was received.
};

/// Exchanges datagrams with the other VMs of a deployment: heartbeats, silent VMs and source updates with the VMs of
/// the own region; demand reports and updates for relays with other regions; loans, target synchronization and crash
/// suspects with any VM.
class PeerNetwork final : public SourceUpdatePeers
{
public:
    /// Fails with Unavailable if the own address can't be used. Roster and quotas must outlive the network.
    /// Documents are sent at no more than the given rate.
    [[nodiscard]] static Result<std::unique_ptr<PeerNetwork>>
    create(EventLoop &loop, const VmRecord &own, VmRoster &roster, CustomerQuotas &quotas, BytesPerSecond documentRate);

    /// Applies the complete list of VMs and announces this VM to new ones of its region.
    void applyRecords(const std::vector<VmRecord> &records);
    /// Tells the VMs of the own region that this one is stopping.
    void leave();
    /// Sets a function that is called when a datagram comes from a VM that is not in the list.
    void onUnknownSender(std::function<void()> callback)
    {
        m_onUnknownSender = std::move(callback);
    }
    void setReadable(SourceKind kind, bool isReadable) override;
    void broadcastUpdate(const SourceUpdate &update) override;
    void broadcastDocument(const SourceUpdate &update) override;
    void requestRules(const VmId &vm, std::uint64_t digest) override;
    void sendRules(const VmId &vm, const SourceUpdate &update) override;
    void sendToRelays(const SourceUpdate &update, std::string_view sourceName) override;
    void requestTargetSync(const VmId &vm, const ShortDigests &digests) override;
    void sendTargetSyncReply(const VmId &vm, const TargetSyncReply &syncReply) override;
    /// Sets a function that handles the target sync request of another VM.
    void onTargetSyncRequest(std::function<void(const VmId &, const ShortDigests &)> callback)
    {
        m_onTargetSyncRequest = std::move(callback);
    }
    /// Sets a function that receives the replies to requestTargetSync().
    void onTargetSyncReply(std::function<void(const TargetSyncReply &)> callback)
    {
        m_onTargetSyncReply = std::move(callback);
    }
    /// Sets a function that handles the rules request of another VM, which has rules with the given digest.
    void onRulesRequest(std::function<void(const VmId &, std::uint64_t)> callback)
    {
        m_onRulesRequest = std::move(callback);
    }
    /// Sets a function that receives the replies to requestRules().
    void onRulesReply(std::function<void(const SourceUpdate &)> callback)
    {
        m_onRulesReply = std::move(callback);
    }
    /// Sets a function that returns which rules this VM has, which its heartbeats tell.
    void setRulesStatusProvider(std::function<RulesStatus()> provider)
    {
        m_rulesStatusProvider = std::move(provider);
    }
    /// Sets a function that receives which rules another VM has.
    void onRulesStatus(std::function<void(const VmId &, const RulesStatus &)> callback)
    {
        m_onRulesStatus = std::move(callback);
    }
    /// Sets a function that receives source updates of other VMs.
    void onUpdate(std::function<void(const SourceUpdate &)> callback)
    {
        m_onUpdate = std::move(callback);
    }
    /// Tells all other VMs of a request that is suspected of crashing targets.
    void broadcastSuspect(const CrashSuspect &suspect);
    /// Sets a function that receives the crash suspects of other VMs.
    void onSuspect(std::function<void(const CrashSuspect &)> callback)
    {
        m_onSuspect = std::move(callback);
    }
    /// Sets a function that returns the worst crash suspects, up to the given number. They are told again and again,
    /// since a VM may have started or been cut off when they were broadcast.
    void setSuspectProvider(std::function<std::vector<CrashSuspect>(std::size_t)> provider)
    {
        m_suspectProvider = std::move(provider);
    }
    /// Sets a function that returns the demand of this VM's callers.
    void setDemandProvider(std::function<ServiceDemands()> provider)
    {
        m_demandProvider = std::move(provider);
    }
    PeerStatistics statistics() const;
    const DemandTracker &demands() const
    {
        return m_demands;
    }
    LoanBroker &loans()
    {
        return m_loans;
    }
    /// Sets a function that is called when tokens may have become available.
    void onTokens(std::function<void()> callback)
    {
        m_onTokens = std::move(callback);
    }

private:
    PeerNetwork(EventLoop &loop, VmRecord own, VmRoster &roster, CustomerQuotas &quotas, BytesPerSecond documentRate);

    void receive(const Poco::Net::SocketAddress &sender, std::string_view bytes);
    void takePresence(const VmRecord &sender, const peer::Datagram &datagram);
    void takeLoans(const VmRecord &sender, const peer::Datagram &datagram);
    /// Sends heartbeats, reports to the regions and repeats of crash suspects, and checks for silent VMs; about once a
    /// second.
    void announce();
    void sendHeartbeat();
    /// Sends the own presence to all VMs of the region at once, after a change.
    void broadcastPresence();
    void takeUpdate(const VmRecord &sender, const peer::Reading &message);
    /// Returns the update with its document; nothing as long as parts of the document are missing.
    std::optional<SourceUpdate> assembleUpdate(const VmRecord &sender, const peer::Reading &message);
    void takeRules(const VmRecord &sender, const peer::Datagram &datagram);
    void takeTargets(const VmRecord &sender, const peer::Datagram &datagram);
    void sendTo(const RegionId &region, const peer::Datagram &datagram);
    /// Sends source updates to all VMs of the own region. In a large region, one VM of each other availability zone
    /// forwards them within its zone, since traffic between zones is billed.
    void sendUpdate(const peer::Datagram &datagram);
    /// Forwards the updates of another VM's datagram to the VMs that it names, or to those of the own availability
    /// zone, with the VM that sent them first as origin.
    void forward(const VmRecord &sender, const peer::Datagram &datagram);
    /// Returns the document's update as messages, one for each part.
    std::vector<peer::Reading> encodeDocument(const SourceUpdate &update);
    /// Sends a part of a document to the heads of branches, at the rate for documents.
    void sendToBranches(const std::vector<FanOutBranch> &branches, const peer::Datagram &datagram);
    void sendPaced(const VmRecord &peer, const peer::Datagram &datagram);
    /// Adds the sender to a datagram and encodes it.
    std::string encode(const peer::Datagram &datagram) const;
    /// Tells one VM of each region what it may not know: the demand of the own region, and crash suspects.
    void reportToRegions();
    void checkSilence();
    /// Detects that the own process was paused; datagrams that it receives right after that may be old.
    void detectPause();
    void reportSilent(const std::vector<VmId> &vms);
    void sendSuspects(const std::vector<CrashSuspect> &suspects);
    peer::Datagram presence() const;
    void send(const VmRecord &peer, const peer::Datagram &datagram);
    /// Adds the sender and encodes the datagram once for all peers.
    void sendToAll(const std::vector<VmRecord> &peers, const peer::Datagram &datagram);

    EventLoop &m_loop;
    VmRecord m_own;
    VmRoster &m_roster;
    LoanBroker m_loans;
    DemandTracker m_demands;
    std::function<ServiceDemands()> m_demandProvider { [] {
        return ServiceDemands();
    } };
    std::function<RulesStatus()> m_rulesStatusProvider { [] {
        return RulesStatus();
    } };
    std::size_t m_reports { 0 }; ///< Rounds of reports sent to the regions.
    std::unique_ptr<PeerSocket> m_socket;
    DatagramPacer m_documentPacer;
    Timer m_heartbeat;
    Timer m_suspectTimer;
    Timer m_loanTimer;
    std::function<void()> m_onTokens { [] {} };
    std::function<void()> m_onUnknownSender { [] {} };
    std::function<void(const SourceUpdate &)> m_onUpdate { [](const SourceUpdate &) {} };
    std::function<void(const VmId &, const ShortDigests &)> m_onTargetSyncRequest { [](const VmId &,
                                                                                       const ShortDigests &) {} };
    std::function<void(const TargetSyncReply &)> m_onTargetSyncReply { [](const TargetSyncReply &) {} };
    std::function<void(const VmId &, std::uint64_t)> m_onRulesRequest { [](const VmId &, std::uint64_t) {} };
    std::function<void(const SourceUpdate &)> m_onRulesReply { [](const SourceUpdate &) {} };
    std::function<void(const VmId &, const RulesStatus &)> m_onRulesStatus { [](const VmId &, const RulesStatus &) {} };
    std::function<void(const CrashSuspect &)> m_onSuspect { [](const CrashSuspect &) {} };
    std::function<std::vector<CrashSuspect>(std::size_t)> m_suspectProvider { [](std::size_t) {
        return std::vector<CrashSuspect>();
    } };
    CrashSuspectGossip m_suspectGossip;
    std::set<SourceKind> m_unreadable; ///< Sources that this VM can't read.
    DocumentParts m_documentParts;
    std::string m_lastDocument; ///< That this VM has sent.
    DividedDocument m_lastDivided; ///< The same, compressed and divided.
    std::set<VmId> m_announcedTo; ///< VMs to which this VM has sent its presence.
    std::set<VmId> m_serving; ///< VMs that were heard from and are neither silent nor leaving; changes are logged.
    TimePoint m_silenceCheckedAt {};
    TimePoint m_lastActiveAt {}; ///< When a timer or datagram was last handled; timers run many times a second.
    Deadline m_backlogUntil; ///< Until then, received datagrams may have waited during a pause.
    Microseconds m_backlogPause {}; ///< How long they may have waited.
    Deadline m_silenceUnreliableUntil; ///< Until then, live VMs may look silent because this one was paused.
    std::uint64_t m_rejected { 0 };
    std::uint64_t m_sentDocuments { 0 };
    std::uint64_t m_receivedDocuments { 0 };
};

} // namespace Sapphire
