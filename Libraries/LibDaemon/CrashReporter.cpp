#include <LibDaemon/CrashReporter.h>

#include <LibDaemon/DaemonEvents.h>

namespace Sapphire {

void CrashReporter::targetDied(const TargetDeath &death)
{
    logEvent(DaemonEvents::targetDied, { { "target", death.target }, { "requests", death.fingerprints.size() } });
    for (const std::string &fingerprint : death.fingerprints) {
        m_router->noteCrash(Fingerprint(fingerprint), death.isAlone);
    }
}

} // namespace Sapphire
