#include <LibPeer/PeerNetwork.h>

#include <LibCore/Duration.h>
#include <LibCore/Hash.h>
#include <LibPeer/CrashSuspectCodec.h>
#include <LibPeer/DemandCodec.h>
#include <LibPeer/PeerEvents.h>
#include <LibPeer/SourceUpdateCodec.h>
#include <LibPeer/TargetSyncReplyCodec.h>

#include <algorithm>
#include <cmath>

namespace Sapphire {

namespace {

constexpr Milliseconds heartbeatInterval { 1'000 };
constexpr Milliseconds loanInterval { 50 };
// A VM's demand counts for this long plus the time between its heartbeats.
constexpr Milliseconds baseDemandLifetime { 2'500 };
// After a longer pause of its own, a VM can't tell which others were silent. It reports none until `silenceSettleTime`
// later, when it has received heartbeats of all live VMs again.
constexpr Milliseconds longestPause { 1'500 };
constexpr Milliseconds silenceSettleTime { 3'000 };
constexpr std::size_t mostSilentVmsPerDatagram { 40 };
constexpr std::size_t mostSuspectsPerReport { 8 };
// After a longer pause of the own process, datagrams that waited in its socket are of unknown age and must not be
// forwarded as if they were new.
constexpr Milliseconds longestBacklogPause { 500 };
constexpr Milliseconds backlogTime { 500 };
// To how many VMs of its availability zone a VM sends a document. Three levels reach 39 VMs.
constexpr std::size_t documentBranches = 3;

} // namespace

PeerNetwork::PeerNetwork(EventLoop &loop, VmRecord own, VmRoster &roster, CustomerQuotas &quotas,
                         BytesPerSecond documentRate)
    : m_loop(loop)
    , m_own(std::move(own))
    , m_roster(roster)
    , m_loans(quotas, roster, m_own.vm, m_own.locality.region,
              [this](const VmRecord &lender, const LoanRequest &request) {
                  peer::Datagram datagram;
                  datagram.mutable_wish()->set_id(request.id);
                  datagram.mutable_wish()->set_customer(request.customer.text());
                  datagram.mutable_wish()->set_tokens(static_cast<std::uint32_t>(request.tokens.value()));
                  send(lender, datagram);
              })
    , m_demands(m_own.locality.region)
    , m_documentPacer(loop, documentRate,
                      [this](const Poco::Net::SocketAddress &receiver, const std::string &bytes) {
                          m_socket->send(receiver, bytes);
                      })
    , m_heartbeat(loop,
                  [this] {
                      announce();
                  })
    , m_suspectTimer(loop,
                     [this] {
                         sendSuspects(m_suspectGossip.takeNew(m_loop.now()));
                     })
    , m_loanTimer(loop, [this] {
        detectPause();
        m_loans.requestLoans(m_loop.now());
        m_onTokens();
        m_loanTimer.start(Deadline::after(m_loop.now(), loanInterval));
    })
{
}

Result<std::unique_ptr<PeerNetwork>> PeerNetwork::create(EventLoop &loop, const VmRecord &own, VmRoster &roster,
                                                         CustomerQuotas &quotas, BytesPerSecond documentRate)
{
    std::unique_ptr<PeerNetwork> network(new PeerNetwork(loop, own, roster, quotas, documentRate));
    BOOST_LEAF_ASSIGN(network->m_socket,
                      PeerSocket::create(loop, Poco::Net::SocketAddress(own.peerAddress),
                                         [raw = network.get()](const auto &sender, std::string_view bytes) {
                                             raw->receive(sender, bytes);
                                         }));
    network->m_lastActiveAt = loop.now();
    network->m_heartbeat.start(Deadline::after(loop.now(), heartbeatInterval));
    network->m_loanTimer.start(Deadline::after(loop.now(), loanInterval));
    return network;
}

void PeerNetwork::applyRecords(const std::vector<VmRecord> &records)
{
    m_roster.applyRecords(records, m_loop.now());
    const peer::Datagram datagram = presence();
    for (const VmRecord &peer : m_roster.peersIn(m_own.locality.region)) {
        if (m_announcedTo.insert(peer.vm).second) {
            send(peer, datagram);
        }
    }
}

void PeerNetwork::leave()
{
    VmPresence presence = m_roster.ownPresence();
    presence.isLeaving = true;
    m_roster.setOwnPresence(presence);
    broadcastPresence();
}

void PeerNetwork::announce()
{
    checkSilence();
    m_demands.setOwn(m_demandProvider());
    reportToRegions();
    sendSuspects(m_suspectGossip.takeRepeats());
    sendHeartbeat();
    m_heartbeat.start(Deadline::after(m_loop.now(), heartbeatInterval));
}

void PeerNetwork::sendHeartbeat()
{
    std::vector<VmRecord> receivers;
    for (const VmId &vm : m_roster.nextHeartbeatReceivers()) {
        receivers.push_back(*m_roster.find(vm));
    }
    sendToAll(receivers, presence());
}

void PeerNetwork::broadcastPresence()
{
    sendTo(m_own.locality.region, presence());
}

peer::Datagram PeerNetwork::presence() const
{
    peer::Datagram datagram;
    datagram.mutable_presence()->set_is_leaving(m_roster.ownPresence().isLeaving);
    datagram.mutable_presence()->set_cannot_read(m_roster.ownPresence().cannotRead);
    const RulesStatus rules = m_rulesStatusProvider();
    datagram.mutable_presence()->set_rules_digest(rules.digest);
    datagram.mutable_presence()->set_rules_revision(rules.revision.value());
    writeDemands(m_demandProvider(), *datagram.mutable_presence()->mutable_demands());
    return datagram;
}

void PeerNetwork::reportToRegions()
{
    peer::Datagram suspects;
    writeSuspects(m_suspectProvider(mostSuspectsPerReport), m_loop.now(), suspects);
    peer::Datagram report = suspects;
    report.mutable_region()->set_region(m_own.locality.region.text());
    writeDemands(m_demands.ownRegion(m_loop.now()), *report.mutable_region()->mutable_demands());
    // Each VM reports to one VM of each region per round, to another one each time, so that together they reach all of
    // them about once a second.
    ++m_reports;
    const std::size_t offset = stableHash(m_own.vm.text()) + m_reports;
    for (const RegionId &region : m_roster.regions()) {
        const std::vector<VmRecord> peers = m_roster.peersIn(region);
        const peer::Datagram &datagram = region == m_own.locality.region ? suspects : report;
        const bool isNeeded = datagram.has_region() || datagram.suspects_size() > 0;
        if (isNeeded && !peers.empty()) {
            send(peers[offset % peers.size()], datagram);
        }
    }
}

void PeerNetwork::send(const VmRecord &peer, const peer::Datagram &datagram)
{
    sendToAll({ peer }, datagram);
}

void PeerNetwork::sendToAll(const std::vector<VmRecord> &peers, const peer::Datagram &datagram)
{
    const std::string bytes = encode(datagram);
    for (const VmRecord &peer : peers) {
        m_socket->send(Poco::Net::SocketAddress(peer.peerAddress), bytes);
    }
}

void PeerNetwork::sendPaced(const VmRecord &peer, const peer::Datagram &datagram)
{
    m_documentPacer.send(Poco::Net::SocketAddress(peer.peerAddress), encode(datagram));
}

std::string PeerNetwork::encode(const peer::Datagram &datagram) const
{
    peer::Datagram completeDatagram = datagram;
    completeDatagram.set_vm(m_own.vm.text());
    completeDatagram.set_started(m_own.startedAtMilliseconds);
    return completeDatagram.SerializeAsString();
}

void PeerNetwork::setReadable(SourceKind kind, bool isReadable)
{
    if (isReadable) {
        m_unreadable.erase(kind);
    } else {
        m_unreadable.insert(kind);
    }
    VmPresence own = m_roster.ownPresence();
    if (own.cannotRead == !m_unreadable.empty()) {
        return;
    }
    own.cannotRead = !m_unreadable.empty();
    m_roster.setOwnPresence(own);
    broadcastPresence();
}

void PeerNetwork::broadcastUpdate(const SourceUpdate &update)
{
    peer::Datagram datagram;
    encodeSourceUpdate(update, m_loop.now(), *datagram.add_readings());
    sendUpdate(datagram);
}

std::vector<peer::Reading> PeerNetwork::encodeDocument(const SourceUpdate &update)
{
    // Many VMs may ask for the same document.
    if (update.document != m_lastDocument) {
        m_lastDocument = update.document;
        m_lastDivided = divideDocument(update.document);
    }
    const DividedDocument &document = m_lastDivided;
    std::vector<peer::Reading> messages(document.parts.size());
    for (std::size_t i = 0; i < messages.size(); ++i) {
        encodeSourceUpdate(update, m_loop.now(), messages[i]);
        messages[i].set_document_id(document.id);
        messages[i].set_parts(static_cast<std::uint32_t>(messages.size()));
        messages[i].set_part(static_cast<std::uint32_t>(i));
        messages[i].set_document_part(document.parts[i]);
    }
    return messages;
}

void PeerNetwork::broadcastDocument(const SourceUpdate &update)
{
    // The document crosses to each other availability zone once, since traffic between zones is billed.
    std::vector<FanOutBranch> branches;
    for (const std::vector<VmId> &zone : m_roster.forwardersByZone(m_loop.now())) {
        const bool isOwnZone =
            m_roster.find(zone.front())->locality.availabilityZone == m_own.locality.availabilityZone;
        for (FanOutBranch &branch : planFanOut(zone, isOwnZone ? documentBranches : 1)) {
            branches.push_back(std::move(branch));
        }
    }
    const std::vector<peer::Reading> messages = encodeDocument(update);
    for (const peer::Reading &message : messages) {
        peer::Datagram datagram;
        *datagram.add_readings() = message;
        sendToBranches(branches, datagram);
    }
    logEvent(PeerEvents::documentSent,
             { { "digest", update.digest },
               { "parts", messages.size() },
               { "bytes", update.document.size() },
               { "receivers", branches.size() } });
}

void PeerNetwork::sendToBranches(const std::vector<FanOutBranch> &branches, const peer::Datagram &datagram)
{
    for (const FanOutBranch &branch : branches) {
        const VmRecord *const head = m_roster.find(branch.vm);
        if (head == nullptr) {
            continue;
        }
        peer::Datagram forwarded = datagram;
        for (const VmId &vm : branch.forwardTo) {
            forwarded.add_forward_to(vm.text());
        }
        // VMs of a release that doesn't know the list forward to their whole zone.
        forwarded.set_is_to_pass_on(!branch.forwardTo.empty()
                                    && head->locality.availabilityZone != m_own.locality.availabilityZone);
        sendPaced(*head, forwarded);
        ++m_sentDocuments;
    }
}

void PeerNetwork::requestRules(const VmId &vm, std::uint64_t digest)
{
    if (const VmRecord *const record = m_roster.find(vm)) {
        peer::Datagram datagram;
        datagram.mutable_rules_request()->set_digest(digest);
        send(*record, datagram);
    }
}

void PeerNetwork::sendRules(const VmId &vm, const SourceUpdate &update)
{
    const VmRecord *const record = m_roster.find(vm);
    if (record == nullptr) {
        return;
    }
    peer::Datagram datagram;
    if (update.document.empty()) {
        encodeSourceUpdate(update, m_loop.now(), *datagram.mutable_rules_reply());
        send(*record, datagram);
        return;
    }
    for (peer::Reading &message : encodeDocument(update)) {
        *datagram.mutable_rules_reply() = std::move(message);
        sendPaced(*record, datagram);
    }
    ++m_sentDocuments;
}

void PeerNetwork::takeRules(const VmRecord &sender, const peer::Datagram &datagram)
{
    if (datagram.has_rules_request()) {
        m_onRulesRequest(sender.vm, datagram.rules_request().digest());
    }
    if (datagram.has_rules_reply()) {
        if (const std::optional<SourceUpdate> update = assembleUpdate(sender, datagram.rules_reply())) {
            m_onRulesReply(*update);
        }
    }
}

PeerStatistics PeerNetwork::statistics() const
{
    return { m_socket->sentBytes(), m_socket->refusedDatagrams() + m_documentPacer.droppedDatagrams(), m_sentDocuments,
             m_receivedDocuments, m_documentParts.lostDocuments() };
}

void PeerNetwork::sendToRelays(const SourceUpdate &update, std::string_view sourceName)
{
    peer::Datagram datagram;
    encodeSourceUpdate(update, m_loop.now(), *datagram.add_readings());
    for (const RegionId &region : m_roster.regions()) {
        if (region == m_own.locality.region) {
            continue;
        }
        for (const VmId &relay : m_roster.relaysOf(sourceName, region)) {
            send(*m_roster.find(relay), datagram);
        }
    }
}

std::optional<SourceUpdate> PeerNetwork::assembleUpdate(const VmRecord &sender, const peer::Reading &message)
{
    std::optional<SourceUpdate> update = decodeSourceUpdate(message, m_loop.now());
    if (!update) {
        return std::nullopt;
    }
    update->origin = message.told_by().empty() ? sender.vm : VmId(message.told_by());
    if (message.parts() == 0) {
        return update;
    }
    const std::uint64_t lostBefore = m_documentParts.lostDocuments();
    // An older release sends no id.
    const std::uint64_t id = message.document_id() != 0 ? message.document_id() : message.digest();
    std::optional<std::string> document =
        m_documentParts.add(id, message.part(), message.parts(), message.document_part());
    if (m_documentParts.lostDocuments() != lostBefore) {
        logEvent(PeerEvents::documentLost,
                 { { "vm", sender.vm }, { "digest", update->digest }, { "parts", message.parts() } });
    }
    if (!document) {
        return std::nullopt;
    }
    ++m_receivedDocuments;
    update->document = std::move(*document);
    return update;
}

void PeerNetwork::takeUpdate(const VmRecord &sender, const peer::Reading &message)
{
    if (const std::optional<SourceUpdate> update = assembleUpdate(sender, message)) {
        m_onUpdate(*update);
    }
}

void PeerNetwork::requestTargetSync(const VmId &vm, const ShortDigests &digests)
{
    if (const VmRecord *const record = m_roster.find(vm)) {
        peer::Datagram datagram;
        datagram.mutable_target_question()->mutable_digests()->Add(digests.begin(), digests.end());
        send(*record, datagram);
    }
}

void PeerNetwork::sendTargetSyncReply(const VmId &vm, const TargetSyncReply &syncReply)
{
    const VmRecord *const record = m_roster.find(vm);
    if (record == nullptr) {
        return;
    }
    for (peer::TargetAnswer &answer : encodeTargetSyncReply(syncReply, m_loop.now())) {
        peer::Datagram datagram;
        *datagram.mutable_target_answer() = std::move(answer);
        send(*record, datagram);
    }
}

void PeerNetwork::takeTargets(const VmRecord &sender, const peer::Datagram &datagram)
{
    ShortDigests digests {};
    if (datagram.target_question().digests_size() == static_cast<int>(digests.size())) {
        std::copy(datagram.target_question().digests().begin(), datagram.target_question().digests().end(),
                  digests.begin());
        m_onTargetSyncRequest(sender.vm, digests);
    }
    if (datagram.has_target_answer()) {
        if (const std::optional<TargetSyncReply> syncReply =
                decodeTargetSyncReply(datagram.target_answer(), m_loop.now())) {
            m_onTargetSyncReply(*syncReply);
        }
    }
}

void PeerNetwork::sendTo(const RegionId &region, const peer::Datagram &datagram)
{
    sendToAll(m_roster.peersIn(region), datagram);
}

void PeerNetwork::sendUpdate(const peer::Datagram &datagram)
{
    if (!m_roster.isRegionLarge()) {
        sendTo(m_own.locality.region, datagram);
        return;
    }
    sendToAll(m_roster.peersInZone(), datagram);
    peer::Datagram toForward = datagram;
    toForward.set_is_to_pass_on(true);
    sendToAll(m_roster.zoneRelays(m_loop.now()), toForward);
}

void PeerNetwork::forward(const VmRecord &sender, const peer::Datagram &datagram)
{
    if (!m_backlogUntil.hasPassed(m_loop.now())) {
        logEvent(PeerEvents::notPassedOn, { { "vm", sender.vm }, { "readings", datagram.readings_size() } });
        return;
    }
    peer::Datagram forwarded;
    *forwarded.mutable_readings() = datagram.readings();
    for (peer::Reading &update : *forwarded.mutable_readings()) {
        if (update.told_by().empty()) {
            update.set_told_by(sender.vm.text());
        }
    }
    if (datagram.forward_to().empty()) {
        sendToAll(m_roster.peersInZone(), forwarded);
        return;
    }
    std::vector<VmId> receivers;
    for (const std::string &vm : datagram.forward_to()) {
        // A VM that this one doesn't know can't forward to the others.
        if (m_roster.find(VmId(vm)) != nullptr) {
            receivers.emplace_back(vm);
        }
    }
    sendToBranches(planFanOut(receivers, documentBranches), forwarded);
}

void PeerNetwork::broadcastSuspect(const CrashSuspect &suspect)
{
    m_suspectGossip.add(suspect);
    m_suspectTimer.start(m_suspectGossip.nextAt());
}

void PeerNetwork::sendSuspects(const std::vector<CrashSuspect> &suspects)
{
    if (suspects.empty()) {
        return;
    }
    peer::Datagram datagram;
    writeSuspects(suspects, m_loop.now(), datagram);
    for (const RegionId &region : m_roster.regions()) {
        sendTo(region, datagram);
    }
}

void PeerNetwork::receive(const Poco::Net::SocketAddress &sender, std::string_view bytes)
{
    detectPause();
    peer::Datagram datagram;
    if (!datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        if (m_rejected++ == 0) {
            logEvent(PeerEvents::datagramRejected, { { "sender", sender.toString() }, { "bytes", bytes.size() } });
        }
        return;
    }
    const VmRecord *const record = m_roster.find(VmId(datagram.vm()));
    if (record == nullptr) {
        // A VM that has just started is not in the list yet. Its datagrams are accepted once the list names it.
        m_onUnknownSender();
        return;
    }
    if (record->peerAddress != sender.toString() || datagram.started() < record->startedAtMilliseconds) {
        return;
    }
    const VmRecord peer = *record;
    if (datagram.is_to_pass_on() || !datagram.forward_to().empty()) {
        forward(peer, datagram);
    }
    if (datagram.has_presence()) {
        takePresence(peer, datagram);
    }
    if (datagram.has_region()) {
        m_demands.takeRegion(RegionId(datagram.region().region()), readDemands(datagram.region().demands()),
                             m_loop.now());
    }
    for (const peer::Reading &message : datagram.readings()) {
        takeUpdate(peer, message);
    }
    for (const CrashSuspect &suspect : readSuspects(datagram, m_loop.now())) {
        m_onSuspect(suspect);
    }
    for (const std::string &vm : datagram.silent()) {
        m_roster.noteReportedSilent(VmId(vm), peer.vm, m_loop.now());
    }
    takeTargets(peer, datagram);
    takeRules(peer, datagram);
    takeLoans(peer, datagram);
}

void PeerNetwork::takePresence(const VmRecord &sender, const peer::Datagram &datagram)
{
    const bool isNewProcess = datagram.started() > sender.startedAtMilliseconds;
    const bool isFirst = m_announcedTo.insert(sender.vm).second;
    const bool isLeaving = datagram.presence().is_leaving();
    const Milliseconds demandLifetime = baseDemandLifetime + m_roster.expectedHeartbeatInterval(sender.vm);
    m_demands.takeVm(sender.vm, readDemands(datagram.presence().demands()),
                     Deadline::after(m_loop.now(), demandLifetime));
    m_roster.noteHeartbeat(sender.vm, datagram.started(), { isLeaving, datagram.presence().cannot_read() },
                           m_loop.now());
    if (datagram.presence().rules_revision() > 0) {
        m_onRulesStatus(sender.vm,
                        { datagram.presence().rules_digest(), SourceRevision(datagram.presence().rules_revision()) });
    }
    if (isNewProcess || isFirst) {
        // The sender has not received this VM's presence yet, and may know no crash suspects.
        peer::Datagram greeting = presence();
        writeSuspects(m_suspectProvider(mostSuspectsPerReport), m_loop.now(), greeting);
        send(sender, greeting);
    }
    if (isLeaving && m_serving.erase(sender.vm) > 0) {
        logEvent(PeerEvents::peerLeaving, { { "vm", sender.vm } });
    } else if (!isLeaving && m_serving.insert(sender.vm).second) {
        logEvent(PeerEvents::peerHeard, { { "vm", sender.vm }, { "started", datagram.started() } });
    }
}

void PeerNetwork::takeLoans(const VmRecord &sender, const peer::Datagram &datagram)
{
    const TimePoint now = m_loop.now();
    if (datagram.has_wish()) {
        const LoanRequest request { datagram.wish().id(), CustomerId(datagram.wish().customer()),
                                    Tokens(datagram.wish().tokens()) };
        const LoanReply reply = m_loans.answer(request, now);
        peer::Datagram answer;
        answer.mutable_grant()->set_id(reply.id);
        answer.mutable_grant()->set_tokens(static_cast<std::uint32_t>(reply.tokens.value()));
        send(sender, answer);
    }
    if (datagram.has_grant()) {
        m_loans.takeReply(sender.vm, { datagram.grant().id(), Tokens(datagram.grant().tokens()) }, now);
        m_onTokens();
    }
}

void PeerNetwork::detectPause()
{
    const TimePoint now = m_loop.now();
    if (now - m_lastActiveAt > longestBacklogPause) {
        m_backlogUntil = Deadline::after(now, backlogTime);
    }
    m_lastActiveAt = now;
}

void PeerNetwork::checkSilence()
{
    const TimePoint now = m_loop.now();
    if (now - m_silenceCheckedAt > longestPause) {
        m_silenceUnreliableUntil = Deadline::after(now, silenceSettleTime);
    }
    m_silenceCheckedAt = now;
    std::vector<VmId> newlySilent;
    for (auto vm = m_serving.begin(); vm != m_serving.end();) {
        if (m_roster.isServing(*vm, m_loop.now())) {
            ++vm;
            continue;
        }
        logEvent(PeerEvents::peerSilent, { { "vm", *vm } });
        if (m_roster.mustReportSilence(*vm) && m_silenceUnreliableUntil.hasPassed(now)) {
            newlySilent.push_back(*vm);
        }
        vm = m_serving.erase(vm);
    }
    reportSilent(newlySilent);
}

void PeerNetwork::reportSilent(const std::vector<VmId> &vms)
{
    for (std::size_t first = 0; first < vms.size(); first += mostSilentVmsPerDatagram) {
        peer::Datagram datagram;
        for (std::size_t i = first; i < std::min(vms.size(), first + mostSilentVmsPerDatagram); ++i) {
            datagram.add_silent(vms[i].text());
        }
        sendTo(m_own.locality.region, datagram);
    }
}

} // namespace Sapphire
