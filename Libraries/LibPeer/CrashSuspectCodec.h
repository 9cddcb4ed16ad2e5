#pragma once

#include <LibSteering/TargetReport.h>

#include <Peer.pb.h>

#include <vector>

namespace Sapphire {

/// Adds crash suspects to a datagram that is sent now.
void writeSuspects(const std::vector<CrashSuspect> &suspects, TimePoint now, peer::Datagram &datagram);
/// Returns the crash suspects of a datagram that arrived now.
std::vector<CrashSuspect> readSuspects(const peer::Datagram &datagram, TimePoint now);

} // namespace Sapphire
