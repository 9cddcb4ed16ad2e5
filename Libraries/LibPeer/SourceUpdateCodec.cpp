#include <LibPeer/SourceUpdateCodec.h>

#include <LibPeer/WireTimes.h>

namespace Sapphire {

namespace {

void encodeTarget(const TargetListEntry &target, TimePoint now, peer::Target &message)
{
    message.set_id(target.id.text());
    message.set_service(target.service.text());
    message.set_address(target.address.text());
    message.set_zone(target.availabilityZone.text());
    message.set_slots(static_cast<std::uint32_t>(target.slots));
    message.set_is_draining(target.isDraining);
    message.set_cold_left(millisecondsUntil(now, target.coldUntil));
    message.set_started(target.startedAtMilliseconds);
    message.set_sequence(target.sequence);
}

std::optional<TargetListEntry> decodeTarget(const peer::Target &message, TimePoint now)
{
    const Outcome<Ipv4Endpoint> address = capture([&message] {
        return Ipv4Endpoint::parse(message.address());
    });
    if (!address) {
        return std::nullopt;
    }
    TargetListEntry target;
    target.id = TargetId(message.id());
    target.service = ServiceId(message.service());
    target.address = address.value();
    target.availabilityZone = AvailabilityZoneId(message.zone());
    target.slots = static_cast<int>(message.slots());
    target.isDraining = message.is_draining();
    target.coldUntil = now + Milliseconds(message.cold_left());
    target.startedAtMilliseconds = message.started();
    target.sequence = message.sequence();
    return target.invalidMember().empty() ? std::optional(target) : std::nullopt;
}

} // namespace

void encodeSourceUpdate(const SourceUpdate &update, TimePoint now, peer::Reading &message)
{
    const bool isOfRules = update.kind == SourceKind::Rules;
    message.set_subject(isOfRules ? peer::Reading::SUBJECT_RULES : peer::Reading::SUBJECT_TARGETS);
    message.set_digest(update.digest);
    message.set_age(millisecondsUntil(update.readAt, now));
    message.set_revision(update.revision.number());
    message.set_epoch(update.revision.epoch().value());
    message.set_base(update.change.base);
    message.set_is_relayed(update.isRelayed);
    for (const TargetListEntry &target : update.change.changed) {
        encodeTarget(target, now, *message.add_changed());
    }
    for (const TargetId &id : update.change.removed) {
        message.add_removed(id.text());
    }
}

std::optional<SourceUpdate> decodeSourceUpdate(const peer::Reading &message, TimePoint now)
{
    SourceUpdate update;
    switch (message.subject()) {
    case peer::Reading::SUBJECT_RULES:
        update.kind = SourceKind::Rules;
        break;
    case peer::Reading::SUBJECT_TARGETS:
        update.kind = SourceKind::Targets;
        break;
    default:
        return std::nullopt;
    }
    update.digest = message.digest();
    update.isRelayed = message.is_relayed();
    update.readAt = now - Milliseconds(message.age());
    update.revision = SourceRevision(SourceEpoch(message.epoch()), message.revision());
    update.change.base = message.base();
    update.change.digest = message.digest();
    for (const peer::Target &target : message.changed()) {
        std::optional<TargetListEntry> changed = decodeTarget(target, now);
        if (!changed) {
            return std::nullopt;
        }
        update.change.changed.push_back(std::move(*changed));
    }
    for (const std::string &id : message.removed()) {
        update.change.removed.emplace_back(id);
    }
    return update;
}

} // namespace Sapphire
