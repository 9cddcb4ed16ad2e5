#pragma once

#include <LibExchange/Refusal.h>

#include <Poco/Net/HTTPServerResponse.h>

namespace Sapphire {

/// Returns the HTTP status of a refusal.
int statusOf(RefusalReason reason);

/// Sends a refusal as problem details (RFC 9457), with the verdict, the reason and when or where to try again.
void sendRefusal(const Refusal &refusal, TimePoint now, Poco::Net::HTTPServerResponse &response);

} // namespace Sapphire
