#include <LibFleet/ExchangeBuilder.h>

#include <LibCore/Hash.h>
#include <LibFleet/LogEntryCodec.h>
#include <LibFleet/WireCodec.h>

#include <algorithm>

namespace Sapphire {

namespace {

/// Stored in the highest bits of item keys, so that items of different kinds never share a key.
enum class ItemKind : std::uint64_t {
    Member = 1,
    Summary,
    Report,
    Usage,
    Suspect,
    Directory,
};

constexpr unsigned kindShift = 56;
/// Time after which a directory that was requested and has not arrived is requested again.
constexpr Milliseconds wantedRetryInterval { 2'000 };
/// A member's heartbeat is sent only if it is newer than the peer's by more than this.
constexpr Milliseconds heartbeatAgeMargin { 100 };

/// Base of the digits that contentOf() combines; larger than any load step and any health.
constexpr std::uint64_t contentFactor = 64;

PeerRecord::ItemKey itemKey(ItemKind kind, std::uint64_t hash)
{
    return (hash << (64 - kindShift) >> (64 - kindShift)) | (static_cast<std::uint64_t>(kind) << kindShift);
}

PeerRecord::ItemKey itemKey(ItemKind kind, const std::string &first, const std::string &second)
{
    return itemKey(kind, rendezvousRank(first, second));
}

PeerRecord::ItemKey summaryItem(const Locality &locality)
{
    return itemKey(ItemKind::Summary, locality.region.text(), locality.availabilityZone.text());
}

PeerRecord::ItemKey reportItem(const TargetReport &report)
{
    return itemKey(ItemKind::Report, stableHash(report.target.text()));
}

PeerRecord::ItemKey usageItem(const RegionUsage &usage)
{
    return itemKey(ItemKind::Usage, usage.region.text(), usage.service.text());
}

PeerRecord::ItemKey suspectItem(const CrashSuspect &suspect)
{
    return itemKey(ItemKind::Suspect, stableHash(suspect.fingerprint.text()));
}

/// Rounds a load down to quarters of the slots, so that small changes don't count as changed content.
std::uint64_t loadStep(int busy, int slots)
{
    constexpr int steps = 4;
    return slots <= 0 ? 0 : static_cast<std::uint64_t>(std::clamp(busy * steps / slots, 0, steps * 4));
}

/// Returns a number for the content of a report. If it changes, the report is sent before its refresh is due.
std::uint64_t contentOf(const TargetReport &report)
{
    const std::uint64_t step = loadStep(report.inFlight, report.slots);
    return (static_cast<std::uint64_t>(report.slots) * contentFactor + step) * contentFactor
        + static_cast<std::uint64_t>(report.health);
}

/// Returns the health in a report's content. Its changes are sent whatever the limit of reports.
std::uint64_t healthOf(std::uint64_t content)
{
    return content % contentFactor;
}

std::uint64_t contentOf(const RegionUsage &usage)
{
    return static_cast<std::uint64_t>(usage.slots) * contentFactor + loadStep(usage.busy, usage.slots);
}

WireKey regionKey(const RegionId &region)
{
    return static_cast<WireKey>(stableHash(region.text()));
}

/// Returns whether the peer, which has the given state of an item, needs a newer one.
bool needsSending(const std::optional<PeerRecord::ItemState> &held, std::uint64_t content, TimePoint at,
                  Milliseconds refresh)
{
    return !held || held->content != content || at - held->at >= refresh;
}

} // namespace

/// An update that was decoded and validated as a whole.
struct ExchangeBuilder::Message
{
    Statement own;
    Locality locality;
    std::vector<Statement> statements;
    std::vector<FleetMember> members;
    std::vector<std::pair<WireKey, TimePoint>> membersAlive;
    std::vector<ZoneSummary> summaries;
    std::vector<std::pair<WireKey, TimePoint>> summariesAlive;
    std::vector<ZoneDirectory> directories;
    std::vector<LogEntry> entries;
    std::vector<TargetReport> reports;
    std::vector<RegionUsage> usages;
    std::vector<CrashSuspect> suspects;

    static Result<Message> create(const wire::Update &update, TimePoint measuredFrom);

private:
    template<typename Repeated, typename Item>
    static Result<void> decodeAll(const Repeated &parts, std::vector<Item> &items, TimePoint measuredFrom)
    {
        items.reserve(static_cast<std::size_t>(parts.size()));
        for (const auto &part : parts) {
            BOOST_LEAF_AUTO(item, decode(part, measuredFrom));
            items.push_back(std::move(item));
        }
        return {};
    }
    template<typename Repeated, typename Item>
    static Result<void> decodeAll(const Repeated &parts, std::vector<Item> &items)
    {
        for (const auto &part : parts) {
            BOOST_LEAF_AUTO(item, decode(part));
            items.push_back(std::move(item));
        }
        return {};
    }
    static Result<void> decodeAges(const wire::Heartbeats &beats, std::vector<std::pair<WireKey, TimePoint>> &items,
                                   TimePoint measuredFrom)
    {
        if (beats.keys_size() != beats.ages_size()) {
            return fail(ErrorCode::InvalidArgument, "a message of another VM has different numbers of keys and ages");
        }
        for (int i = 0; i < beats.keys_size(); ++i) {
            items.emplace_back(beats.keys(i), decodeAge(beats.ages(i), measuredFrom));
        }
        return {};
    }
};

Result<ExchangeBuilder::Message> ExchangeBuilder::Message::create(const wire::Update &update, TimePoint measuredFrom)
{
    Message message;
    BOOST_LEAF_ASSIGN(message.own, decode(update.own(), measuredFrom));
    message.locality = { message.own.region, AvailabilityZoneId(update.zone()) };
    BOOST_LEAF_CHECK(decodeAll(update.statements(), message.statements, measuredFrom));
    BOOST_LEAF_CHECK(decodeAll(update.members(), message.members, measuredFrom));
    BOOST_LEAF_CHECK(decodeAges(update.members_alive(), message.membersAlive, measuredFrom));
    BOOST_LEAF_CHECK(decodeAll(update.zones(), message.summaries, measuredFrom));
    BOOST_LEAF_CHECK(decodeAges(update.zones_alive(), message.summariesAlive, measuredFrom));
    BOOST_LEAF_CHECK(decodeAll(update.directories(), message.directories));
    BOOST_LEAF_CHECK(decodeAll(update.entries(), message.entries));
    BOOST_LEAF_CHECK(decodeAll(update.reports(), message.reports, measuredFrom));
    BOOST_LEAF_CHECK(decodeAll(update.rooms(), message.usages, measuredFrom));
    BOOST_LEAF_CHECK(decodeAll(update.suspects(), message.suspects, measuredFrom));
    return message;
}

ExchangeBuilder::ExchangeBuilder(Membership &membership, ConfigurationExchange &configuration,
                                 TargetReportExchange &reports, CrashSuspectExchange &suspects,
                                 ExchangeBuilderSettings settings)
    : m_membership(membership)
    , m_configuration(configuration)
    , m_reports(reports)
    , m_suspects(suspects)
    , m_settings(settings)
{
}

wire::ExchangeRequest ExchangeBuilder::request(const PeerCandidate &peer, TimePoint now)
{
    wire::ExchangeRequest request;
    const std::lock_guard guard(m_mutex);
    PeerRecord &record = m_servers[peer.vm];
    record.usedAt = now;
    // takeResponse() acknowledges sent items, so those that are still noted were in a request without response.
    record.discardSent();
    writeOwnStatement(*request.mutable_update(), now);
    if (relationTo(peer.locality).isOwnZone) {
        writeMembers(*request.mutable_update(), record, nullptr, now);
    }
    request.set_acknowledged(record.sequence);
    for (const Statement &statement : m_configuration.newestStatements(now)) {
        if (statement.region != m_membership.locality().region) {
            request.mutable_region_ages()->add_keys(regionKey(statement.region));
            request.mutable_region_ages()->add_ages(encodeAge(statement.statedAt, now));
        }
    }
    for (const WireKey key : record.wanted) {
        request.add_wanted(key);
    }
    record.wanted.clear();
    writeNewSuspects(*request.mutable_update(), now);
    return request;
}

Result<wire::ExchangeResponse> ExchangeBuilder::answer(const wire::ExchangeRequest &request, TimePoint now)
{
    BOOST_LEAF_AUTO(message, Message::create(request.update(), now));
    if (request.region_ages().keys_size() != request.region_ages().ages_size()) {
        return fail(ErrorCode::InvalidArgument, "a request of another VM has different numbers of regions and ages");
    }
    const Relation relation = relationTo(message.locality);
    m_configuration.takeWithdrawals(message.own.pendingWithdrawals);

    wire::ExchangeResponse response;
    const std::lock_guard guard(m_mutex);
    const auto [client, isAdded] = m_clients.try_emplace(message.own.process.vm);
    PeerRecord &record = client->second;
    if (isAdded) {
        record.sequence = firstSequence();
    }
    record.usedAt = now;
    record.noteProcess(message.own.process.incarnation);
    if (request.acknowledged() == record.sequence) {
        record.acknowledgeSent();
    } else {
        record.discardSent();
    }
    // The statement in a request is not taken: the request may have been in transit for long, so the time of the
    // statement is not known.
    mergeMembers(message, record, now);
    for (const CrashSuspect &suspect : message.suspects) {
        m_suspects.takeSuspect(suspect, now);
    }
    const std::set<WireKey> wanted(request.wanted().begin(), request.wanted().end());
    wire::Update &update = *response.mutable_update();
    writeOwnStatement(update, now);
    if (relation.isOwnZone) {
        writeMembers(update, record, &request.update().members_alive(), now);
    }
    writeSummaries(update, record, relation, wanted, now);
    writeDirectories(update, record, relation, wanted, now);
    writeStatements(update, relation, request.region_ages(), now);
    writeEntries(response, message.own.version);
    if (relation.isOwnRegion) {
        writeReports(update, record, now);
    }
    writeUsages(update, record, relation, request.region_ages(), now);
    writeSuspects(update, record, now);
    ++record.sequence;
    response.set_sequence(record.sequence);
    return response;
}

Result<bool> ExchangeBuilder::takeResponse(const VmId &peer, const wire::ExchangeResponse &response, TimePoint sentAt,
                                           TimePoint now)
{
    BOOST_LEAF_AUTO(message, Message::create(response.update(), sentAt));
    if (message.own.process.vm != peer) {
        return fail(ErrorCode::InvalidArgument,
                    "VM " + message.own.process.vm.text() + " answered under the address of VM " + peer.text());
    }
    mergeConfiguration(message);
    m_configuration.takeStatement(message.own, now);
    for (const Statement &statement : message.statements) {
        m_configuration.takeStatement(statement, now);
    }
    const std::lock_guard guard(m_mutex);
    PeerRecord &record = m_servers[peer];
    record.usedAt = now;
    record.noteProcess(message.own.process.incarnation);
    record.acknowledgeSent();
    record.sequence = response.sequence();
    mergeMembers(message, record, now);
    mergeSummaries(message, record, now);
    mergeReports(message, now);
    return response.is_snapshot_needed();
}

std::uint64_t ExchangeBuilder::firstSequence() const
{
    constexpr std::uint64_t bases = 128;
    constexpr unsigned baseShift = 20;
    return (m_membership.self().incarnation.value() % bases) << baseShift;
}

ExchangeBuilder::Relation ExchangeBuilder::relationTo(const Locality &locality) const
{
    return { locality, locality == m_membership.locality(), locality.region == m_membership.locality().region };
}

void ExchangeBuilder::writeOwnStatement(wire::Update &update, TimePoint now) const
{
    Statement own = m_configuration.ownStatement(now);
    own.process = m_membership.self();
    own.region = m_membership.locality().region;
    m_membership.updateOwn(own.version, own.pendingWithdrawals);
    encode(own, now, *update.mutable_own());
    update.set_zone(m_membership.locality().availabilityZone.text());
}

void ExchangeBuilder::writeMembers(wire::Update &update, PeerRecord &record, const wire::Heartbeats *peerHeartbeats,
                                   TimePoint now) const
{
    std::unordered_map<WireKey, std::uint32_t> peerAges;
    if (peerHeartbeats != nullptr) {
        for (int i = 0; i < std::min(peerHeartbeats->keys_size(), peerHeartbeats->ages_size()); ++i) {
            peerAges.emplace(peerHeartbeats->keys(i), peerHeartbeats->ages(i));
        }
    }
    m_membership.visitMembers(now, [&](const FleetMember &member) {
        const PeerRecord::ItemKey item = itemKey(ItemKind::Member, member.key);
        const std::optional<PeerRecord::ItemState> held = record.acknowledged(item);
        const bool isChanged = !held || held->content < member.revision;
        if (isChanged && static_cast<std::size_t>(update.members_size()) < m_settings.itemLimit) {
            encode(member, !held, now, *update.add_members());
            record.noteSent(item, { member.revision, now });
            return;
        }
        const auto peerAge = peerAges.find(member.key);
        const bool isLater =
            peerAge == peerAges.end() || now - member.heardAt + heartbeatAgeMargin < Milliseconds(peerAge->second);
        if (isLater && now - member.heardAt < m_settings.relayAgeLimit) {
            update.mutable_members_alive()->add_keys(member.key);
            update.mutable_members_alive()->add_ages(encodeAge(member.heardAt, now));
        }
    });
}

void ExchangeBuilder::writeSummaries(wire::Update &update, PeerRecord &record, const Relation &relation,
                                     const std::set<WireKey> &wanted, TimePoint now) const
{
    if (!relation.isOwnZone && m_membership.maySendSummary(now)) {
        const ZoneSummary own = m_membership.ownSummary(now);
        writeSummary(update, record, own, own.contentKey(), Milliseconds(0), wanted, now);
    }
    const RegionId &region = m_membership.locality().region;
    m_membership.visitSummaries([&](const ZoneSummary &summary, WireKey contentKey) {
        if (summary.locality == relation.locality || now - summary.statedAt > m_settings.relayAgeLimit) {
            return;
        }
        if (relation.isOwnRegion) {
            writeSummary(update, record, summary, contentKey, m_settings.summaryRefresh, wanted, now);
        } else if (summary.locality.region == region) {
            writeSummary(update, record, summary, contentKey, m_settings.regionRefresh, wanted, now);
        }
    });
}

void ExchangeBuilder::writeSummary(wire::Update &update, PeerRecord &record, const ZoneSummary &summary,
                                   WireKey contentKey, Milliseconds refresh, const std::set<WireKey> &wanted,
                                   TimePoint now) const
{
    const PeerRecord::ItemKey item = summaryItem(summary.locality);
    const std::optional<PeerRecord::ItemState> held = record.acknowledged(item);
    const bool isWanted = wanted.contains(contentKey);
    if (held && !isWanted && summary.statedAt - held->at < refresh) {
        return;
    }
    if (!held || isWanted || held->content != contentKey) {
        encode(summary, now, *update.add_zones());
    } else {
        update.mutable_zones_alive()->add_keys(contentKey);
        update.mutable_zones_alive()->add_ages(encodeAge(summary.statedAt, now));
    }
    record.noteSent(item, { contentKey, summary.statedAt });
}

void ExchangeBuilder::writeDirectories(wire::Update &update, PeerRecord &record, const Relation &relation,
                                       const std::set<WireKey> &wanted, TimePoint now) const
{
    const std::uint64_t ownDigest = m_membership.ownDirectoryDigest();
    const PeerRecord::ItemKey item = itemKey(ItemKind::Directory, 0);
    const std::optional<PeerRecord::ItemState> held = record.acknowledged(item);
    const bool isOwnChanged = !held || held->content != ownDigest;
    if (!relation.isOwnZone && isOwnChanged && m_membership.maySendSummary(now)) {
        encode(m_membership.ownDirectory(), *update.add_directories());
        record.noteSent(item, { ownDigest, now });
    }
    for (const WireKey key : wanted) {
        if (static_cast<std::size_t>(update.directories_size()) >= m_settings.directoryLimit) {
            return;
        }
        const std::optional<ZoneDirectory> directory = m_membership.directory(key);
        if (directory) {
            encode(*directory, *update.add_directories());
        }
    }
}

void ExchangeBuilder::writeStatements(wire::Update &update, const Relation &relation,
                                      const wire::Heartbeats &regionAges, TimePoint now) const
{
    std::unordered_map<WireKey, Milliseconds> peerAges;
    for (int i = 0; i < regionAges.keys_size(); ++i) {
        peerAges.emplace(regionAges.keys(i), Milliseconds(regionAges.ages(i)));
    }
    for (const Statement &statement : m_configuration.newestStatements(now)) {
        const Microseconds age = now - statement.statedAt;
        const auto peerAge = peerAges.find(regionKey(statement.region));
        const bool isLater = peerAge == peerAges.end() || age + m_settings.statementAgeMargin < peerAge->second;
        const bool isForeign =
            statement.region != m_membership.locality().region && statement.region != relation.locality.region;
        if (isLater && isForeign && age < m_settings.relayAgeLimit) {
            encode(statement, now, *update.add_statements());
        }
    }
}

void ExchangeBuilder::writeEntries(wire::ExchangeResponse &response, ConfigurationVersion version) const
{
    wire::Update &update = *response.mutable_update();
    if (version.value() >= update.own().version()) {
        return;
    }
    const std::vector<LogEntry> entries = m_configuration.entriesAfter(version, m_settings.entryLimit);
    response.set_is_snapshot_needed(entries.empty());
    std::size_t bytes = 0;
    for (const LogEntry &entry : entries) {
        wire::LogEntry encoded;
        encode(entry, encoded);
        bytes += encoded.ByteSizeLong();
        if (update.entries_size() > 0 && bytes > m_settings.entryBytesLimit) {
            return;
        }
        *update.add_entries() = std::move(encoded);
    }
}

void ExchangeBuilder::writeReports(wire::Update &update, PeerRecord &record, TimePoint now) const
{
    const std::vector<TargetReport> reports = m_reports.reports(now);
    // Starts at another report each time, so that none starves if more reports have changed than fit in a message.
    const std::size_t offset = record.sequence * m_settings.reportLimit;
    std::size_t loads = 0;
    for (std::size_t i = 0; i < reports.size(); ++i) {
        const TargetReport &report = reports[(i + offset) % reports.size()];
        if (now - report.observedAt > m_settings.relayAgeLimit) {
            continue;
        }
        const std::optional<PeerRecord::ItemState> held = record.acknowledged(reportItem(report));
        const std::uint64_t content = contentOf(report);
        const bool isHealthNew = !held || healthOf(held->content) != healthOf(content);
        if (!isHealthNew) {
            if (loads >= m_settings.reportLimit
                || !needsSending(held, content, report.observedAt, m_settings.reportRefresh)) {
                continue;
            }
            ++loads;
        }
        encode(report, now, *update.add_reports());
        record.noteSent(reportItem(report), { content, report.observedAt });
    }
}

void ExchangeBuilder::writeUsages(wire::Update &update, PeerRecord &record, const Relation &relation,
                                  const wire::Heartbeats &regionAges, TimePoint now) const
{
    std::set<WireKey> recentRegions;
    for (int i = 0; i < regionAges.keys_size(); ++i) {
        if (Milliseconds(regionAges.ages(i)) < m_settings.regionSilence) {
            recentRegions.insert(regionAges.keys(i));
        }
    }
    for (const RegionUsage &usage : m_reports.regionUsages(now)) {
        const bool isForeign = usage.region != m_membership.locality().region;
        if (usage.region == relation.locality.region
            || (isForeign && recentRegions.contains(regionKey(usage.region)))) {
            continue;
        }
        const std::optional<PeerRecord::ItemState> held = record.acknowledged(usageItem(usage));
        const bool isNew = needsSending(held, contentOf(usage), usage.statedAt, m_settings.usageRefresh);
        const bool isYoung = now - usage.statedAt < m_settings.relayAgeLimit;
        if (isNew && isYoung && static_cast<std::size_t>(update.rooms_size()) < m_settings.itemLimit) {
            encode(usage, now, *update.add_rooms());
            record.noteSent(usageItem(usage), { contentOf(usage), usage.statedAt });
        }
    }
}

void ExchangeBuilder::writeSuspects(wire::Update &update, PeerRecord &record, TimePoint now) const
{
    constexpr Milliseconds refresh { 60'000 };
    for (const CrashSuspect &suspect : m_suspects.suspects(now)) {
        const auto content = static_cast<std::uint64_t>(suspect.crashes);
        const bool isNew =
            needsSending(record.acknowledged(suspectItem(suspect)), content, suspect.lastSeenAt, refresh);
        if (isNew && static_cast<std::size_t>(update.suspects_size()) < m_settings.itemLimit) {
            encode(suspect, now, *update.add_suspects());
            record.noteSent(suspectItem(suspect), { content, suspect.lastSeenAt });
        }
    }
}

void ExchangeBuilder::writeNewSuspects(wire::Update &update, TimePoint now) const
{
    // Responses bring crash suspects only to the VMs that pull from this one, which may be too late for a suspect that
    // was just found.
    constexpr Milliseconds newTime { 3'000 };
    for (const CrashSuspect &suspect : m_suspects.suspects(now)) {
        const bool isNew = now - suspect.lastSeenAt <= newTime;
        if (isNew && static_cast<std::size_t>(update.suspects_size()) < m_settings.itemLimit) {
            encode(suspect, now, *update.add_suspects());
        }
    }
}

void ExchangeBuilder::mergeConfiguration(const Message &message)
{
    if (!message.entries.empty()) {
        m_configuration.takeEntries(message.entries);
    }
    std::set<KeyId> withdrawals = message.own.pendingWithdrawals;
    for (const Statement &statement : message.statements) {
        withdrawals.insert(statement.pendingWithdrawals.begin(), statement.pendingWithdrawals.end());
    }
    if (!withdrawals.empty()) {
        m_configuration.takeWithdrawals(withdrawals);
    }
    const ConfigurationVersion newest = message.own.version;
    const ConfigurationVersion next = message.entries.empty() ? ConfigurationVersion() : message.entries.back().version;
    if (newest > next) {
        m_configuration.hintVersion(newest);
    }
}

void ExchangeBuilder::mergeMembers(const Message &message, PeerRecord &record, TimePoint now)
{
    if (message.locality != m_membership.locality()) {
        return;
    }
    for (const FleetMember &member : message.members) {
        m_membership.takeMember(member, now);
        record.noteReceived(itemKey(ItemKind::Member, member.key), { member.revision, now });
    }
    for (const auto &[key, heardAt] : message.membersAlive) {
        m_membership.noteHeartbeat(key, heardAt);
    }
    m_membership.noteHeartbeat(message.own.process, message.own.statedAt);
}

void ExchangeBuilder::mergeSummaries(const Message &message, PeerRecord &record, TimePoint now)
{
    for (const ZoneSummary &summary : message.summaries) {
        m_membership.takeSummary(summary);
        noteReceivedItem(message.own.process.vm, summaryItem(summary.locality),
                         { summary.contentKey(), summary.statedAt });
    }
    for (const ZoneDirectory &directory : message.directories) {
        m_membership.takeDirectory(directory);
    }
    for (const ZoneSummary &summary : message.summaries) {
        if (summary.locality != m_membership.locality()) {
            requestDirectory(record, summary.directoryDigest, now);
        }
    }
    for (const auto &[key, statedAt] : message.summariesAlive) {
        const std::optional<std::uint64_t> digest = m_membership.refreshSummary(key, statedAt);
        if (digest) {
            requestDirectory(record, *digest, now);
        } else {
            record.wanted.insert(key);
        }
    }
}

void ExchangeBuilder::mergeReports(const Message &message, TimePoint now)
{
    const VmId &peer = message.own.process.vm;
    const bool isOwnRegion = message.locality.region == m_membership.locality().region;
    for (const TargetReport &report : message.reports) {
        if (isOwnRegion) {
            m_reports.takeReport(report, now);
            noteReceivedItem(peer, reportItem(report), { contentOf(report), report.observedAt });
        }
    }
    for (const RegionUsage &usage : message.usages) {
        m_reports.takeUsage(usage, now);
        noteReceivedItem(peer, usageItem(usage), { contentOf(usage), usage.statedAt });
    }
    for (const CrashSuspect &suspect : message.suspects) {
        m_suspects.takeSuspect(suspect, now);
        const PeerRecord::ItemState state { static_cast<std::uint64_t>(suspect.crashes), suspect.lastSeenAt };
        noteReceivedItem(peer, suspectItem(suspect), state);
    }
}

void ExchangeBuilder::requestDirectory(PeerRecord &record, std::uint64_t digest, TimePoint now)
{
    if (m_membership.hasDirectory(digest)) {
        return;
    }
    const auto key = static_cast<WireKey>(digest);
    const auto asked = m_askedAt.find(key);
    if (asked == m_askedAt.end() || now - asked->second > wantedRetryInterval) {
        m_askedAt.insert_or_assign(key, now);
        record.wanted.insert(key);
    }
}

void ExchangeBuilder::noteReceivedItem(const VmId &peer, PeerRecord::ItemKey item, PeerRecord::ItemState state)
{
    const auto client = m_clients.find(peer);
    if (client != m_clients.end()) {
        client->second.noteReceived(item, state);
    }
}

void ExchangeBuilder::forgetUnused(TimePoint now)
{
    const std::lock_guard guard(m_mutex);
    const TimePoint limit = now - m_settings.recordLifetime;
    for (std::map<VmId, PeerRecord> *records : { &m_servers, &m_clients }) {
        std::erase_if(*records, [&](const auto &item) {
            return item.second.usedAt < limit;
        });
        for (auto &[vm, record] : *records) {
            record.forgetBefore(limit);
        }
    }
    std::erase_if(m_askedAt, [&](const auto &item) {
        return item.second < limit;
    });
}

} // namespace Sapphire
