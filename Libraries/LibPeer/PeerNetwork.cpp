#include <LibPeer/PeerNetwork.h>

#include <LibCore/Duration.h>
#include <LibCore/Hash.h>
#include <LibNet/SocketAddresses.h>
#include <LibPeer/CrashSuspectCodec.h>
#include <LibPeer/DemandCodec.h>
#include <LibPeer/PeerEvents.h>

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
                      PeerSocket::create(loop, socketAddressOf(own.peerAddress),
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
    datagram.mutable_presence()->set_rules_revision(rules.revision.number());
    datagram.mutable_presence()->set_rules_epoch(rules.revision.epoch().value());
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
        m_socket->send(socketAddressOf(peer.peerAddress), bytes);
    }
}

void PeerNetwork::sendPaced(const VmRecord &peer, const peer::Datagram &datagram)
{
    m_documentPacer.send(socketAddressOf(peer.peerAddress), encode(datagram));
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

PeerStatistics PeerNetwork::statistics() const
{
    return { m_socket->sentBytes(), m_socket->refusedDatagrams() + m_documentPacer.droppedDatagrams(), m_sentDocuments,
             m_receivedDocuments, m_documentParts.lostDocuments() };
}

void PeerNetwork::sendTo(const RegionId &region, const peer::Datagram &datagram)
{
    sendToAll(m_roster.peersIn(region), datagram);
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
    if (record->peerAddress != endpointOf(sender) || datagram.started() < record->startedAtMilliseconds) {
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
    const SourceRevision rulesRevision(SourceEpoch(datagram.presence().rules_epoch()),
                                       datagram.presence().rules_revision());
    if (rulesRevision.isKnown()) {
        m_onRulesStatus(sender.vm, { datagram.presence().rules_digest(), rulesRevision });
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
        m_backlogPause = now - m_lastActiveAt;
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
