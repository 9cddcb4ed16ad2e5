#include <LibDaemon/DaemonViews.h>

#include <array>
#include <iomanip>
#include <sstream>

namespace Sapphire {

namespace {

constexpr double partsPerPercent = 10'000.0;

std::string percent(Share share)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << static_cast<double>(share.value()) / partsPerPercent << '%';
    return text.str();
}

std::string rounded(double number)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << number;
    return text.str();
}

std::string nameOf(TargetHealth health)
{
    static constexpr std::array<const char *, 4> names { "ok", "draining", "failing", "unreachable" };
    return names.at(static_cast<std::size_t>(health));
}

} // namespace

Table DaemonViews::limits(const CustomerId &customer) const
{
    Table table { { "customer", "share", "tokens", "demand/s", "admitted", "refused", "borrowed", "lent" } };
    for (const LimitSnapshot &entry : m_parts.limiter.snapshot(m_parts.clock.now())) {
        if (customer.isEmpty() || entry.customer == customer) {
            table.rows.push_back({ entry.customer.text(), percent(entry.share), rounded(entry.tokens),
                                   rounded(entry.demandPerSecond), std::to_string(entry.admitted),
                                   std::to_string(entry.refused), std::to_string(entry.borrowed),
                                   std::to_string(entry.lent) });
        }
    }
    return table;
}

Table DaemonViews::rooms(const ServiceId &service) const
{
    const TimePoint now = m_parts.clock.now();
    Table table { { "region", "service", "slots", "busy", "age-ms" } };
    for (const RegionUsage &usage : m_parts.observations.regionUsages(now)) {
        if (!service.isEmpty() && usage.service != service) {
            continue;
        }
        const auto age = std::chrono::duration_cast<Milliseconds>(now - usage.statedAt);
        table.rows.push_back({ usage.region.text(), usage.service.text(), std::to_string(usage.slots),
                               std::to_string(usage.busy), std::to_string(age.count()) });
    }
    return table;
}

Table DaemonViews::weights(const ServiceId &service) const
{
    Table table { { "service", "region", "weight" } };
    for (const auto &[id, record] : m_parts.configuration.configuration()->services) {
        if (!service.isEmpty() && id != service) {
            continue;
        }
        for (const auto &[region, share] : m_parts.router.weights(id)) {
            table.rows.push_back({ id.text(), region.text(), percent(share) });
        }
    }
    return table;
}

Table DaemonViews::targetState(const TargetId &target) const
{
    const TimePoint now = m_parts.clock.now();
    Table table { { "observer", "health", "in-flight", "slots", "latency-us", "age-ms" } };
    for (const TargetReport &report : m_parts.observations.reports(now)) {
        if (report.target == target) {
            const auto age = std::chrono::duration_cast<Milliseconds>(now - report.observedAt);
            table.rows.push_back({ report.observer.text(), nameOf(report.health), std::to_string(report.inFlight),
                                   std::to_string(report.slots), std::to_string(report.latency.count()),
                                   std::to_string(age.count()) });
        }
    }
    return table;
}

std::vector<VmId> DaemonViews::homeVms(const CustomerId &customer) const
{
    return m_parts.limiter.homeVms(customer);
}

} // namespace Sapphire
