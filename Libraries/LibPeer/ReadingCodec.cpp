#include <LibPeer/ReadingCodec.h>

#include <LibPeer/WireTimes.h>

namespace Sapphire {

namespace {

void encodeTarget(const KnownTarget &target, TimePoint now, peer::Target &message)
{
    message.set_id(target.id.text());
    message.set_service(target.service.text());
    message.set_address(target.address);
    message.set_zone(target.availabilityZone.text());
    message.set_slots(static_cast<std::uint32_t>(target.slots));
    message.set_is_draining(target.isDraining);
    message.set_cold_left(millisecondsUntil(now, target.coldUntil));
    message.set_started(target.startedAtMilliseconds);
    message.set_sequence(target.sequence);
}

KnownTarget decodeTarget(const peer::Target &message, TimePoint now)
{
    KnownTarget target;
    target.id = TargetId(message.id());
    target.service = ServiceId(message.service());
    target.address = message.address();
    target.availabilityZone = AvailabilityZoneId(message.zone());
    target.slots = static_cast<int>(message.slots());
    target.isDraining = message.is_draining();
    target.coldUntil = now + Milliseconds(message.cold_left());
    target.startedAtMilliseconds = message.started();
    target.sequence = message.sequence();
    return target;
}

} // namespace

void encodeReading(const Reading &reading, TimePoint now, peer::Reading &message)
{
    const bool isOfRules = reading.subject == SourceKind::Rules;
    message.set_subject(isOfRules ? peer::Reading::SUBJECT_RULES : peer::Reading::SUBJECT_TARGETS);
    message.set_digest(reading.digest);
    message.set_age(millisecondsUntil(reading.readAt, now));
    message.set_base(reading.change.base);
    message.set_is_relayed(reading.isRelayed);
    for (const KnownTarget &target : reading.change.changed) {
        encodeTarget(target, now, *message.add_changed());
    }
    for (const TargetId &id : reading.change.removed) {
        message.add_removed(id.text());
    }
}

std::optional<Reading> decodeReading(const peer::Reading &message, TimePoint now)
{
    Reading reading;
    switch (message.subject()) {
    case peer::Reading::SUBJECT_RULES:
        reading.subject = SourceKind::Rules;
        break;
    case peer::Reading::SUBJECT_TARGETS:
        reading.subject = SourceKind::Targets;
        break;
    default:
        return std::nullopt;
    }
    reading.digest = message.digest();
    reading.isRelayed = message.is_relayed();
    reading.readAt = now - Milliseconds(message.age());
    reading.change.base = message.base();
    reading.change.digest = message.digest();
    for (const peer::Target &target : message.changed()) {
        reading.change.changed.push_back(decodeTarget(target, now));
    }
    for (const std::string &id : message.removed()) {
        reading.change.removed.emplace_back(id);
    }
    return reading;
}

} // namespace Sapphire
