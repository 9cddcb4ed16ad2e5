#pragma once

#include <LibSteering/TargetReport.h>

#include <map>
#include <vector>

namespace Sapphire {

/// Remembers requests that were running when a target died, so that they don't take down one target after another.
class CrashSuspects
{
public:
    /// Notes that a target died while these requests ran there, one entry for each. A request that ran there several
    /// times at once is blamed once: it saw one death. It was alone if all known entries are its own and nothing else
    /// ran there.
    void noteDeath(std::vector<Fingerprint> running, bool areAllKnown, TimePoint now);
    /// Notes that a target answered the request. A request that targets have answered is blamed only if several die one
    /// after the other without an answer in between: many callers may read the same path while a region fails.
    void noteAnswered(const Fingerprint &fingerprint, TimePoint now);
    /// Takes what another VM remembers. Returns whether it was news.
    bool merge(const CrashSuspect &suspect, TimePoint now);
    /// Returns whether the request was running when a target died.
    bool isSuspected(const Fingerprint &fingerprint) const
    {
        return m_suspects.contains(fingerprint);
    }
    /// Returns whether the request must not be sent to a target.
    bool isRefused(const Fingerprint &fingerprint, bool isIdempotent, TimePoint now) const;
    /// Returns the suspects seen after the given time, for passing on.
    std::vector<CrashSuspect> seenAfter(TimePoint after, TimePoint now) const;
    /// Drops suspects that have not been seen for a while.
    void expire(TimePoint now);

private:
    void noteCrash(const Fingerprint &fingerprint, int points, TimePoint now);
    bool wasAnswered(const Fingerprint &fingerprint, TimePoint now) const;

    std::map<Fingerprint, CrashSuspect> m_suspects;
    std::map<Fingerprint, TimePoint> m_answered; ///< When a target answered last.
};

} // namespace Sapphire
