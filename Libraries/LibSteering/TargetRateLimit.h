#pragma once

#include <LibCore/Deadline.h>

#include <optional>

namespace Sapphire {

/// Keeps this VM's requests to one target within its share of the rate that the target has asked all VMs together to
/// keep to. VMs don't agree on the shares, so the allowance of a VM comes in turns that end unless they are used: what
/// many VMs didn't need in a calm time never adds up to a burst.
class TargetRateLimit
{
public:
    /// An answer of the target asked for at most so many requests a second from all VMs, or for no limit. `phase`, a
    /// random number in [0, 1), spreads the turns of the VMs that learn of a limit at the same time. Returns whether
    /// that is news.
    bool noteNamed(std::optional<double> requestsPerSecond, double phase, TimePoint now);
    /// Sets the fraction of the rate that this VM may use. All fractions should add up to 1.
    void setShare(double share, TimePoint now);

    /// The rate that the target asks for, in requests a second; nothing if it takes what it gets.
    std::optional<double> rate() const
    {
        return m_rate;
    }
    /// Returns whether a request may be sent now.
    bool maySend(TimePoint now);
    void noteSent(TimePoint now);

private:
    double ownRate() const;
    void advance(TimePoint now);

    std::optional<double> m_rate;
    double m_share { 1 };
    /// Allowed requests that were not sent. Its fraction is the progress to the next turn.
    double m_allowance { 0 };
    TimePoint m_advancedAt {};
};

} // namespace Sapphire
