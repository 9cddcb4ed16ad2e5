#pragma once

#include <LibCore/StrongId.h>

#include <cstdint>

namespace Sapphire {

/// Counts how often the platform has come back from an older copy of its data; revision numbers of two epochs name
/// different content. Zero if the platform doesn't tell it.
using SourceEpoch = StrongNumber<struct SourceEpochTag>;

/// The position in the platform's history at which a list was read. Of two lists the one with the greater revision is
/// the newer one, whoever read it and whenever the news of it arrived. The epoch counts before the number, which goes
/// back when the epoch rises.
class SourceRevision
{
public:
    /// An unknown revision, which is before all others.
    constexpr SourceRevision() = default;
    constexpr SourceRevision(SourceEpoch epoch, std::uint64_t number) : m_epoch(epoch), m_number(number)
    {
    }

    constexpr SourceEpoch epoch() const
    {
        return m_epoch;
    }
    /// Counts the platform's transactions within the epoch.
    constexpr std::uint64_t number() const
    {
        return m_number;
    }
    constexpr bool isKnown() const
    {
        return *this != SourceRevision();
    }
    /// Returns whether the order of both is the order of the lists. Revisions without an epoch, which VMs of an earlier
    /// release send, say nothing about one with an epoch.
    constexpr bool isComparableWith(const SourceRevision &other) const
    {
        return isKnown() && other.isKnown() && (m_epoch == SourceEpoch()) == (other.m_epoch == SourceEpoch());
    }

    // NOLINTNEXTLINE(modernize-use-nullptr): as in StrongId.
    friend constexpr auto operator<=>(const SourceRevision &, const SourceRevision &) = default;

private:
    SourceEpoch m_epoch;
    std::uint64_t m_number { 0 };
};

} // namespace Sapphire
