#include <LibPeer/PeerNetwork.h>

#include <LibPeer/PeerEvents.h>
#include <LibPeer/SourceUpdateCodec.h>
#include <LibPeer/TargetSyncReplyCodec.h>

// The part of PeerNetwork that carries what VMs read from the platform.

namespace Sapphire {

namespace {

// To how many VMs of its availability zone a VM sends a document. Three levels reach 39 VMs.
constexpr std::size_t documentBranches = 3;

} // namespace

void PeerNetwork::broadcastUpdate(const SourceUpdate &update)
{
    peer::Datagram datagram;
    encodeSourceUpdate(update, m_loop.now(), *datagram.add_readings());
    sendUpdate(datagram);
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

void PeerNetwork::takeUpdate(const VmRecord &sender, const peer::Reading &message)
{
    if (const std::optional<SourceUpdate> update = assembleUpdate(sender, message)) {
        m_onUpdate(*update);
    }
}

std::optional<SourceUpdate> PeerNetwork::assembleUpdate(const VmRecord &sender, const peer::Reading &message)
{
    std::optional<SourceUpdate> update = decodeSourceUpdate(message, m_loop.now());
    if (!update) {
        return std::nullopt;
    }
    if (!m_backlogUntil.hasPassed(m_loop.now())) {
        update->readAt -= m_backlogPause;
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

} // namespace Sapphire
