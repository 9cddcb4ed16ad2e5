#pragma once

#include <LibSteering/Demand.h>

#include <Peer.pb.h>

namespace Sapphire {

using WireDemands = google::protobuf::RepeatedPtrField<peer::ServiceDemand>;

/// Appends the demands to a message.
void writeDemands(const ServiceDemands &demands, WireDemands &wire);
/// Returns the demands of a message. A message of a release that does not know bound demand has free demand only.
ServiceDemands readDemands(const WireDemands &wire);

} // namespace Sapphire
