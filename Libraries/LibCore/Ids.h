#pragma once

#include <LibCore/StrongId.h>

namespace Sapphire {

using VmId = StrongId<struct VmTag>;
using RegionId = StrongId<struct RegionTag>;
using AvailabilityZoneId = StrongId<struct AvailabilityZoneTag>;
using CustomerId = StrongId<struct CustomerTag>;
using ServiceId = StrongId<struct ServiceTag>;
using TargetId = StrongId<struct TargetTag>;
using RequestId = StrongId<struct RequestTag>;
/// The public part of a customer's key; it may be logged, unlike the secret.
using KeyId = StrongId<struct KeyTag>;
using CommandId = StrongId<struct CommandTag>;
using OperatorId = StrongId<struct OperatorTag>;

/// Distinguishes the successive processes that run under one VM id.
using Incarnation = StrongNumber<struct IncarnationTag>;
/// Number of the last configuration change that a copy contains; 0 is the empty configuration.
using ConfigurationVersion = StrongNumber<struct ConfigurationVersionTag>;
/// A fraction, in parts per million.
using Share = StrongNumber<struct ShareTag, std::int64_t>;
inline constexpr Share wholeShare { 1'000'000 };

/// The region and availability zone of a VM or target.
struct Locality
{
    RegionId region;
    AvailabilityZoneId availabilityZone;

    friend auto operator<=>(const Locality &, const Locality &) = default;
};

/// Identifies one process: the VM id together with the incarnation that runs under it.
struct VmIncarnation
{
    VmId vm;
    Incarnation incarnation;

    friend auto operator<=>(const VmIncarnation &, const VmIncarnation &) = default;
};

} // namespace Sapphire

template<>
struct std::hash<Sapphire::VmIncarnation>
{
    std::size_t operator()(const Sapphire::VmIncarnation &process) const noexcept
    {
        return std::hash<Sapphire::VmId> {}(process.vm)
            ^ (std::hash<Sapphire::Incarnation> {}(process.incarnation) << 1U);
    }
};
