#pragma once

#include <LibGateway/GatewayRequest.h>
#include <LibSteering/CacheExpectation.h>

namespace Sapphire {

/// Returns the identity of a request's object among those of its route.
std::uint64_t objectKey(const GatewayRequest &request);
/// Returns the position in [0, 1) of an object among those of its service.
double positionOf(const std::string &object);
/// Returns what to expect of a target's cache, from the time at which the target has last handled the object.
CacheExpectation expectationAt(TimePoint lastHandled, TimePoint now);

} // namespace Sapphire
