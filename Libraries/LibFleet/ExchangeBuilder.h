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
    std::size_t entryBytesLimit { 65'536 }; ///< Log entries beyond the first stop at this size.
    std::size_t itemLimit { 64 }; ///< Members, rooms or crash suspects in one message.
    std::size_t directoryLimit { 4 };
    /// Reports of changed load in one message; changed health is always sent. The limit bounds the traffic at 44
    /// targets in a region, each of which a VM hears of from up to six peers.
    std::size_t reportLimit { 4 };
    /// A relayed summary, room or report whose content did not change is sent again when it is newer by this.
    Milliseconds summaryRefresh { 1'900 };
    /// Summaries of the own region are passed on to another region at most this often.
    Milliseconds regionRefresh { 500 };
    Milliseconds roomRefresh { 2'000 };
    Milliseconds reportRefresh { 4'000 };
    /// Rooms of a third region are passed on only to VMs that have not heard of that region for this long.
    Milliseconds regionSilence { 3'000 };
    /// A region's statement is relayed if it is newer than the peer's by this.
    Milliseconds statementLead { 1'000 };
    /// What is older is not passed on.
    Milliseconds relayLimit { 10'000 };
    Milliseconds recordLimit { 120'000 }; ///< Records of peers and items are forgotten after this time without use.
};

/// Builds the messages of the exchange from the differences to what each peer has acknowledged, and merges those that
/// arrive. Time is an argument; no gRPC. Safe to call from any thread; what it is given is called while its mutex is
/// held and must not call back.
class ExchangeBuilder
{
public:
    ExchangeBuilder(Membership &membership, ConfigurationExchange &configuration, TargetReportExchange &reports,
                    CrashSuspectExchange &suspects, ExchangeBuilderSettings settings = {});

    wire::ExchangeRequest request(const PeerCandidate &peer, TimePoint now);
    /// Merges a request and builds its response. Fails with InvalidArgument if the request is malformed, and then
    /// takes nothing from it.
    [[nodiscard]] Result<wire::ExchangeResponse> answer(const wire::ExchangeRequest &request, TimePoint now);
    /// Merges the response to a request that was sent at the given moment. Returns whether the peer offers only
    /// a snapshot. Fails like answer().
    [[nodiscard]] Result<bool> takeResponse(const VmId &peer, const wire::ExchangeResponse &response, TimePoint sentAt,
                                            TimePoint now);
    /// Forgets the records of peers that were not used for long.
    void forgetUnused(TimePoint now);

private:
    struct Message;

    /// What decides which parts a peer gets.
    struct Relation
    {
        Locality place;
        bool isOwnZone;
        bool isOwnRegion;
    };

    /// Differs between successive processes, so that an acknowledgement meant for an earlier one doesn't count.
    std::uint64_t firstSequence() const;
    Relation relationTo(const Locality &place) const;
    void writeOwn(wire::Update &update, TimePoint now) const;
    void writeMembers(wire::Update &update, PeerRecord &record, const wire::Heartbeats *heard, TimePoint now) const;
    void writeSummaries(wire::Update &update, PeerRecord &record, const Relation &relation,
                        const std::set<WireKey> &wanted, TimePoint now) const;
    void writeSummary(wire::Update &update, PeerRecord &record, const ZoneSummary &summary, WireKey contentKey,
                      Milliseconds refresh, const std::set<WireKey> &wanted, TimePoint now) const;
    void writeDirectories(wire::Update &update, PeerRecord &record, const Relation &relation,
                          const std::set<WireKey> &wanted, TimePoint now) const;
    void writeStatements(wire::Update &update, const Relation &relation, const wire::Heartbeats &heard,
                         TimePoint now) const;
    void writeEntries(wire::ExchangeResponse &response, ConfigurationVersion version) const;
    void writeReports(wire::Update &update, PeerRecord &record, TimePoint now) const;
    void writeRooms(wire::Update &update, PeerRecord &record, const Relation &relation, const wire::Heartbeats &heard,
                    TimePoint now) const;
    void writeSuspects(wire::Update &update, PeerRecord &record, TimePoint now) const;
    /// Writes the suspects of the last moments, for VMs that have not asked for them.
    void writeNewSuspects(wire::Update &update, TimePoint now) const;

    void mergeConfiguration(const Message &message);
    void mergeMembers(const Message &message, PeerRecord &record, TimePoint now);
    void mergeSummaries(const Message &message, PeerRecord &record, TimePoint now);
    void mergeReports(const Message &message, TimePoint now);
    /// Asks the peer for a directory that is not held, unless another peer was just asked.
    void wantDirectory(PeerRecord &record, std::uint64_t digest, TimePoint now);
    void noteFromPeer(const VmId &peer, PeerRecord::ItemKey item, PeerRecord::Token token);

    Membership &m_membership;
    ConfigurationExchange &m_configuration;
    TargetReportExchange &m_reports;
    CrashSuspectExchange &m_suspects;
    const ExchangeBuilderSettings m_settings;

    std::mutex m_mutex;
    std::map<VmId, PeerRecord> m_servers; ///< Peers that this VM pulls from.
    std::map<VmId, PeerRecord> m_clients; ///< Peers that pull from this VM.
    std::unordered_map<WireKey, TimePoint> m_askedAt; ///< When a summary or directory was asked for last.
};

} // namespace Sapphire
