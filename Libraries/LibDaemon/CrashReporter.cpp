#include <LibDaemon/CrashReporter.h>

namespace Sapphire {

void CrashReporter::targetDied(const TargetDeath &death)
{
    std::vector<Fingerprint> running;
    running.reserve(death.fingerprints.size());
    for (const std::string &fingerprint : death.fingerprints) {
        running.emplace_back(fingerprint);
    }
    m_router->noteDeath(std::move(running), death.areAllKnown);
}

} // namespace Sapphire
