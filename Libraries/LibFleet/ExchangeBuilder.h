#pragma once

#include <LibConfiguration/ConfigurationExchange.h>
#include <LibFleet/CrashSuspectExchange.h>
#include <LibFleet/Membership.h>
#include <LibFleet/PeerRecord.h>
#include <LibFleet/TargetReportExchange.h>

#include <mutex>
#include <unordered_map>

namespace sapphire::wire {
class ExchangeRequest;
class ExchangeResponse;
class Heartbeats;
class Update;
} // namespace sapphire::wire

namespace Sapphire {

namespace wire = sapphire::wire;

struct ExchangeBuilderSettings
{
    std::size_t entryLimit { 64 }; ///< Log entries in one message.
    std::size_t entryBytesLimit { 65'536 }; ///< Total size of the log entries in one message; the first is always sent.
    std::size_t itemLimit { 64 }; ///< Members, slot usages of regions or crash suspects in one message.
    std::size_t directoryLimit { 4 }; ///< Zone directories in one message.
    /// Target reports in one message that are sent for their load; a change of health is always sent. The limit bounds
    /// the traffic at 44 targets in a region, since a VM receives reports on each of them from up to six peers.
    std::size_t reportLimit { 4 };
    /// A zone summary, changed or not, is forwarded only if it is newer than the one that the peer has by this.
    Milliseconds summaryRefresh { 1'900 };
    /// The same for summaries of the own region that are forwarded to another region.
    Milliseconds regionRefresh { 500 };
    /// A region's slot usage with unchanged content is sent again when it is newer by this.
    Milliseconds usageRefresh { 2'000 };
    Milliseconds reportRefresh { 4'000 }; ///< The same for target reports.
    /// The slot usage of a third region is forwarded only to a VM whose newest statement of that region is at least
    /// this old.
    Milliseconds regionSilence { 3'000 };
    /// The newest statement of a third region is forwarded if it is newer than the peer's by more than this.
    Milliseconds statementAgeMargin { 1'000 };
    /// Information that is older than this is not forwarded.
    Milliseconds relayAgeLimit { 10'000 };
    Milliseconds recordLifetime { 120'000 }; ///< Unused records of peers and items are deleted after this time.
};

/// Builds the messages of the gossip exchange, which contain only what the peer has not acknowledged yet, and merges
/// the messages that arrive. It does no I/O, and the time is passed in. Safe to call from any thread. The objects that
/// the constructor takes are called while its mutex is held and must not call back.
class ExchangeBuilder
{
public:
    ExchangeBuilder(Membership &membership, ConfigurationExchange &configuration, TargetReportExchange &reports,
                    CrashSuspectExchange &suspects, ExchangeBuilderSettings settings = {});

    /// Builds the request that this VM sends to pull from the peer.
    wire::ExchangeRequest request(const PeerCandidate &peer, TimePoint now);
    /// Merges a request and builds its response. Fails with InvalidArgument if the request is malformed; nothing of it
    /// is merged then.
    [[nodiscard]] Result<wire::ExchangeResponse> answer(const wire::ExchangeRequest &request, TimePoint now);
    /// Merges the response to a request that was sent at the given moment. Returns whether this VM needs a snapshot,
    /// since the peer no longer keeps the log entries that come next. Fails like answer().
    [[nodiscard]] Result<bool> takeResponse(const VmId &peer, const wire::ExchangeResponse &response, TimePoint sentAt,
                                            TimePoint now);
    /// Deletes the records of peers that were not used for the record lifetime.
    void forgetUnused(TimePoint now);

private:
    struct Message;

    /// Where a peer is in relation to this VM, which decides what it is sent.
    struct Relation
    {
        Locality locality;
        bool isOwnZone;
        bool isOwnRegion;
    };

    /// Returns the sequence number to start with. It differs between successive processes of this VM, so that a peer's
    /// acknowledgement of a response of the previous process doesn't match.
    std::uint64_t firstSequence() const;
    Relation relationTo(const Locality &locality) const;
    void writeOwnStatement(wire::Update &update, TimePoint now) const;
    void writeMembers(wire::Update &update, PeerRecord &record, const wire::Heartbeats *peerHeartbeats,
                      TimePoint now) const;
    void writeSummaries(wire::Update &update, PeerRecord &record, const Relation &relation,
                        const std::set<WireKey> &wanted, TimePoint now) const;
    void writeSummary(wire::Update &update, PeerRecord &record, const ZoneSummary &summary, WireKey contentKey,
                      Milliseconds refresh, const std::set<WireKey> &wanted, TimePoint now) const;
    void writeDirectories(wire::Update &update, PeerRecord &record, const Relation &relation,
                          const std::set<WireKey> &wanted, TimePoint now) const;
    void writeStatements(wire::Update &update, const Relation &relation, const wire::Heartbeats &regionAges,
                         TimePoint now) const;
    void writeEntries(wire::ExchangeResponse &response, ConfigurationVersion version) const;
    void writeReports(wire::Update &update, PeerRecord &record, TimePoint now) const;
    void writeUsages(wire::Update &update, PeerRecord &record, const Relation &relation,
                     const wire::Heartbeats &regionAges, TimePoint now) const;
    void writeSuspects(wire::Update &update, PeerRecord &record, TimePoint now) const;
    /// Writes the crash suspects of the last few seconds into a request, as writeSuspects() does for a response.
    void writeNewSuspects(wire::Update &update, TimePoint now) const;

    void mergeConfiguration(const Message &message);
    void mergeMembers(const Message &message, PeerRecord &record, TimePoint now);
    void mergeSummaries(const Message &message, PeerRecord &record, TimePoint now);
    void mergeReports(const Message &message, TimePoint now);
    /// Has the next request to the peer ask for a directory that this VM lacks, unless one was just asked for it.
    void requestDirectory(PeerRecord &record, std::uint64_t digest, TimePoint now);
    /// Notes that the peer has the item, since it sent it.
    void noteReceivedItem(const VmId &peer, PeerRecord::ItemKey item, PeerRecord::ItemState state);

    Membership &m_membership;
    ConfigurationExchange &m_configuration;
    TargetReportExchange &m_reports;
    CrashSuspectExchange &m_suspects;
    const ExchangeBuilderSettings m_settings;

    std::mutex m_mutex;
    std::map<VmId, PeerRecord> m_servers; ///< Peers that this VM pulls from.
    std::map<VmId, PeerRecord> m_clients; ///< Peers that pull from this VM.
    std::unordered_map<WireKey, TimePoint> m_askedAt; ///< When a directory was last asked for.
};

} // namespace Sapphire
