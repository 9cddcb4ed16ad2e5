#include <LibDaemon/CrashReporter.h>

namespace Sapphire {

void CrashReporter::targetDied(const TargetDeath &death)
{
    for (const std::string &fingerprint : death.fingerprints) {
        m_router->noteCrash(Fingerprint(fingerprint), death.isAlone);
    }
}

} // namespace Sapphire
