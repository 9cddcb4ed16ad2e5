#include <LibPeer/CrashSuspectCodec.h>

#include <LibCore/Duration.h>

namespace Sapphire {

void writeSuspects(const std::vector<CrashSuspect> &suspects, TimePoint now, peer::Datagram &datagram)
{
    for (const CrashSuspect &suspect : suspects) {
        peer::CrashSuspect &entry = *datagram.add_suspects();
        entry.set_fingerprint(suspect.fingerprint.text());
        entry.set_crashes(static_cast<std::uint32_t>(suspect.crashes));
        entry.set_age(static_cast<std::uint32_t>(millisecondsBetween(suspect.lastSeenAt, now)));
    }
}

std::vector<CrashSuspect> readSuspects(const peer::Datagram &datagram, TimePoint now)
{
    std::vector<CrashSuspect> suspects;
    for (const peer::CrashSuspect &entry : datagram.suspects()) {
        suspects.push_back(
            { Fingerprint(entry.fingerprint()), now - Milliseconds(entry.age()), static_cast<int>(entry.crashes()) });
    }
    return suspects;
}

} // namespace Sapphire
