#include <LibCaller/ServiceCheck.h>

#include <LibCaller/StaleRetryDelay.h>

namespace Sapphire {

std::variant<ServiceRecord, Refusal> checkService(const ConfigurationSource &source, const ServiceId &service,
                                                  TimePoint now)
{
    // Asked first: a configuration that arrives meanwhile must not make an old look-up appear current.
    const bool isFresh = source.isFresh(now);
    const std::shared_ptr<const Configuration> configuration = source.configuration();
    const auto found = configuration->services.find(service);
    if (found != configuration->services.end()) {
        return found->second;
    }
    if (!isFresh) {
        return Refusal { RefusalReason::NotFresh,
                         Verdict::NotRun,
                         "this VM currently can't tell whether there is such a service",
                         Deadline::after(now, staleRetryDelay),
                         {} };
    }
    return Refusal { RefusalReason::NoSuchService, Verdict::NotRun, "there is no such service", {}, {} };
}

} // namespace Sapphire
