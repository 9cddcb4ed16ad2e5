#include <LibPeer/TargetSyncReplyCodec.h>

#include <LibPeer/WireTimes.h>

#include <cstring>
#include <map>

#include <arpa/inet.h>

namespace Sapphire {

namespace {

// Below the usual MTU (1500 bytes), with space for the rest of the datagram.
constexpr std::size_t mostBytesPerMessage = 1'250;
constexpr std::size_t ipv4Bytes = 4;
constexpr std::uint32_t mostPort = 65'535;

/// Encodes targets. Each message holds the name of a service or zone once; targets refer to it by index.
class Encoder
{
public:
    Encoder(const TargetSyncReply &reply, TimePoint now) : m_reply(reply), m_now(now)
    {
    }

    std::vector<peer::TargetAnswer> encode()
    {
        begin();
        for (const TargetBucket &bucket : m_reply.buckets) {
            if (m_messages.back().ByteSizeLong() > mostBytesPerMessage - estimate(bucket)
                && m_messages.back().buckets_size() > 0) {
                begin();
            }
            encodeBucket(bucket);
        }
        return std::move(m_messages);
    }

private:
    static std::size_t estimate(const TargetBucket &bucket)
    {
        constexpr std::size_t bytesPerTarget = 45;
        return std::min(mostBytesPerMessage, bucket.targets.size() * bytesPerTarget);
    }

    void begin()
    {
        peer::TargetAnswer &message = m_messages.emplace_back();
        message.set_is_known(m_reply.isKnown);
        message.set_digest(m_reply.digest);
        message.set_age(millisecondsUntil(m_reply.readAt, m_now));
        m_services.clear();
        m_zones.clear();
    }

    void encodeBucket(const TargetBucket &bucket)
    {
        peer::TargetAnswer &message = m_messages.back();
        peer::TargetBucket &entry = *message.add_buckets();
        entry.set_index(static_cast<std::uint32_t>(bucket.index));
        for (const TargetListEntry &target : bucket.targets) {
            peer::ShortTarget &wire = *entry.add_targets();
            wire.set_id(target.id.text());
            wire.set_service(nameIndex(m_services, target.service.text(), *message.mutable_services()));
            wire.set_zone(nameIndex(m_zones, target.availabilityZone.text(), *message.mutable_zones()));
            encodeAddress(target.address, wire);
            wire.set_slots(static_cast<std::uint32_t>(target.slots));
            wire.set_is_draining(target.isDraining);
            wire.set_cold_left(millisecondsUntil(m_now, target.coldUntil));
            wire.set_started(target.startedAtMilliseconds);
            wire.set_sequence(target.sequence);
        }
    }

    static std::uint32_t nameIndex(std::map<std::string, std::uint32_t> &known, const std::string &name,
                                   google::protobuf::RepeatedPtrField<std::string> &names)
    {
        const auto [entry, isNew] = known.try_emplace(name, static_cast<std::uint32_t>(names.size()));
        if (isNew) {
            *names.Add() = name;
        }
        return entry->second;
    }

    static void encodeAddress(const Ipv4Endpoint &address, peer::ShortTarget &wire)
    {
        const std::uint32_t ip = htonl(address.address().value());
        wire.set_ip(&ip, sizeof ip);
        wire.set_port(address.port());
    }

    const TargetSyncReply &m_reply;
    TimePoint m_now;
    std::vector<peer::TargetAnswer> m_messages;
    std::map<std::string, std::uint32_t> m_services;
    std::map<std::string, std::uint32_t> m_zones;
};

std::optional<TargetListEntry> decodeTarget(const peer::ShortTarget &wire, const peer::TargetAnswer &message,
                                            TimePoint now)
{
    const bool isValid = static_cast<int>(wire.service()) < message.services_size()
        && static_cast<int>(wire.zone()) < message.zones_size() && wire.ip().size() == ipv4Bytes
        && wire.port() <= mostPort && wire.slots() > 0;
    if (!isValid) {
        return std::nullopt;
    }
    std::uint32_t ip = 0;
    std::memcpy(&ip, wire.ip().data(), sizeof ip);
    TargetListEntry target;
    target.id = TargetId(wire.id());
    target.service = ServiceId(message.services(static_cast<int>(wire.service())));
    target.availabilityZone = AvailabilityZoneId(message.zones(static_cast<int>(wire.zone())));
    target.address = Ipv4Endpoint(Ipv4Address(ntohl(ip)), static_cast<std::uint16_t>(wire.port()));
    target.slots = static_cast<int>(wire.slots());
    target.isDraining = wire.is_draining();
    target.coldUntil = now + Milliseconds(wire.cold_left());
    target.startedAtMilliseconds = wire.started();
    target.sequence = wire.sequence();
    return target.invalidMember().empty() ? std::optional(target) : std::nullopt;
}

} // namespace

ShortDigests shortDigests(const TargetList &list)
{
    const TargetList::BucketDigests digests = list.bucketDigests();
    ShortDigests shortened {};
    for (std::size_t index = 0; index < shortened.size(); ++index) {
        shortened[index] = static_cast<std::uint32_t>(digests[index]);
    }
    return shortened;
}

std::vector<peer::TargetAnswer> encodeTargetSyncReply(const TargetSyncReply &reply, TimePoint now)
{
    return Encoder(reply, now).encode();
}

std::optional<TargetSyncReply> decodeTargetSyncReply(const peer::TargetAnswer &message, TimePoint now)
{
    TargetSyncReply reply;
    reply.isKnown = message.is_known();
    reply.digest = message.digest();
    reply.readAt = now - Milliseconds(message.age());
    for (const peer::TargetBucket &wire : message.buckets()) {
        if (wire.index() >= TargetList::bucketCount) {
            return std::nullopt;
        }
        TargetBucket bucket;
        bucket.index = wire.index();
        for (const peer::ShortTarget &entry : wire.targets()) {
            std::optional<TargetListEntry> target = decodeTarget(entry, message, now);
            if (!target) {
                return std::nullopt;
            }
            bucket.targets.push_back(std::move(*target));
        }
        reply.buckets.push_back(std::move(bucket));
    }
    return reply;
}

} // namespace Sapphire
