#pragma once

#include <LibConfiguration/Statement.h>
#include <LibFleet/Membership.h>
#include <LibSteering/TargetReport.h>

#include <Fleet.pb.h>

namespace Sapphire {

namespace wire = sapphire::wire;

// Translates between the types of the libraries and the messages of Fleet.proto. An age in a message is subtracted from
// the moment that it is measured from. Decoding fails with InvalidArgument if a part is missing or out of range.

std::uint32_t encodeAge(TimePoint at, TimePoint now);
TimePoint decodeAge(std::uint32_t age, TimePoint measuredFrom);
std::uint32_t encodeRemaining(Deadline deadline, TimePoint now);
Deadline decodeRemaining(std::uint32_t remaining, TimePoint now);

void encode(const VmIncarnation &process, wire::Process &message);
VmIncarnation decode(const wire::Process &message);
void encode(const VmEndpoints &endpoints, wire::Endpoints &message);
[[nodiscard]] Result<VmEndpoints> decode(const wire::Endpoints &message);

void encode(const Statement &statement, TimePoint now, wire::Statement &message);
[[nodiscard]] Result<Statement> decode(const wire::Statement &message, TimePoint measuredFrom);

/// Writes the process and its endpoints only if withIdentity is set; the peer may have them already.
void encode(const FleetMember &member, bool withIdentity, TimePoint now, wire::Member &message);
[[nodiscard]] Result<FleetMember> decode(const wire::Member &message, TimePoint measuredFrom);
void encode(const ZoneSummary &summary, TimePoint now, wire::ZoneSummary &message);
[[nodiscard]] Result<ZoneSummary> decode(const wire::ZoneSummary &message, TimePoint measuredFrom);
void encode(const ZoneDirectory &directory, wire::ZoneDirectory &message);
[[nodiscard]] Result<ZoneDirectory> decode(const wire::ZoneDirectory &message);

void encode(const TargetReport &report, TimePoint now, wire::TargetReport &message);
[[nodiscard]] Result<TargetReport> decode(const wire::TargetReport &message, TimePoint measuredFrom);
void encode(const RegionUsage &usage, TimePoint now, wire::RegionRoom &message);
[[nodiscard]] Result<RegionUsage> decode(const wire::RegionRoom &message, TimePoint measuredFrom);
void encode(const CrashSuspect &suspect, TimePoint now, wire::CrashSuspect &message);
[[nodiscard]] Result<CrashSuspect> decode(const wire::CrashSuspect &message, TimePoint measuredFrom);

/// Fails with InvalidArgument, naming what the message of another VM lacks, if the part is not present.
[[nodiscard]] Result<void> require(bool isPresent, const char *what);

} // namespace Sapphire
