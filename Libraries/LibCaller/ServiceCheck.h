#pragma once

#include <LibConfiguration/ConfigurationSource.h>
#include <LibExchange/Refusal.h>

#include <variant>

namespace Sapphire {

/// Finds the service that a request names. Refuses with NoSuchService, or with NotFresh if this VM's configuration may
/// be too old to know the service.
std::variant<ServiceRecord, Refusal> checkService(const ConfigurationSource &source, const ServiceId &service,
                                                  TimePoint now);

} // namespace Sapphire
