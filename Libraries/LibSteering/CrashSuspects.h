#pragma once

#include <LibSteering/TargetReport.h>

#include <map>
#include <vector>

namespace Sapphire {

/// Remembers requests that were running when a target died, so that they don't take down one target after another.
class CrashSuspects
{
public:
    /// Notes that a target died while these requests ran there, one entry for each copy. A request that ran there
    /// several times at once is counted once, since it took part in one death. It was alone there if all entries are
    /// its own and `areAllKnown` says that nothing else ran there.
    void noteDeath(std::vector<Fingerprint> running, bool areAllKnown, TimePoint now);
    /// Notes that a target answered the request. A request that targets have answered is refused only if several
    /// targets die one after the other without an answer in between, since many callers may read the same path while a
    /// region fails.
    void noteAnswered(const Fingerprint &fingerprint, TimePoint now);
    /// Merges what another VM knows. Returns whether that is a new suspect or a higher crash count.
    bool merge(const CrashSuspect &suspect, TimePoint now);
    /// Returns whether the request was running when a target died.
    bool isSuspected(const Fingerprint &fingerprint) const
    {
        return m_suspects.contains(fingerprint);
    }
    /// Returns whether the request must not be sent to a target.
    bool isRefused(const Fingerprint &fingerprint, bool isIdempotent, TimePoint now) const;
    /// Returns the suspects seen after the given time, to be forwarded to other VMs.
    std::vector<CrashSuspect> seenAfter(TimePoint after, TimePoint now) const;
    /// Returns up to `count` suspects that other VMs should refuse, too, those with the most crashes first.
    std::vector<CrashSuspect> worst(std::size_t count, TimePoint now) const;
    /// Drops suspects that have not been seen for a while.
    void expire(TimePoint now);

private:
    void noteCrash(const Fingerprint &fingerprint, int points, TimePoint now);
    bool wasAnswered(const Fingerprint &fingerprint, TimePoint now) const;

    std::map<Fingerprint, CrashSuspect> m_suspects;
    std::map<Fingerprint, TimePoint> m_answered; ///< Time of the last answer.
};

} // namespace Sapphire
