#pragma once

#include <LibCore/Clock.h>

#include <Poco/Net/SocketAddress.h>

namespace Sapphire {

/// Returns whether nothing listens at a target's address any more. Usually blocks for 20 ms if something does.
bool refusesConnections(const Poco::Net::SocketAddress &address, const Clock &clock);

} // namespace Sapphire
