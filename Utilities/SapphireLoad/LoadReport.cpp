#include <SapphireLoad/LoadReport.h>

#include <LibCore/EventLog.h>

#include <iomanip>
#include <sstream>

namespace Sapphire {

namespace {

constexpr double microsecondsPerMillisecond = 1000.0;
constexpr double median = 0.5;
constexpr double percentile99 = 0.99;
constexpr double percentile999 = 0.999;

std::string milliseconds(Microseconds time)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << static_cast<double>(time.count()) / microsecondsPerMillisecond;
    return text.str();
}

std::string joined(const std::map<std::string, std::uint64_t> &counts)
{
    std::string text;
    for (const auto &[name, count] : counts) {
        text += (text.empty() ? "" : " ") + name + "=" + std::to_string(count);
    }
    return text.empty() ? "-" : text;
}

std::string jsonOf(const std::map<std::string, std::uint64_t> &counts)
{
    std::string text = "{";
    for (const auto &[name, count] : counts) {
        text += (text.size() > 1 ? "," : "") + quoteJson(name) + ":" + std::to_string(count);
    }
    return text + "}";
}

} // namespace

void LoadReport::count(Totals &totals, const LoadSample &sample)
{
    ++totals.sent;
    totals.answered += sample.isAnswered ? 1 : 0;
    totals.insideRate += sample.isInsideRate ? 1 : 0;
    totals.insideRateUnserved += sample.isInsideRate && !sample.isAnswered ? 1 : 0;
    totals.refusedInsideRate += sample.isInsideRate && sample.reason == "rate-exceeded" ? 1 : 0;
    if (!sample.isAnswered) {
        ++totals.reasons[sample.reason];
    } else {
        ++totals.regions[sample.region];
    }
}

void LoadReport::add(const LoadSample &sample)
{
    const std::lock_guard guard(m_mutex);
    Group &group = m_groups[{ sample.customer, sample.service }];
    Group &service = m_services[sample.service];
    count(group.totals, sample);
    count(service.totals, sample);
    count(m_customers[sample.customer], sample);
    count(m_totals, sample);
    if (sample.isAnswered) {
        group.latencies->record(sample.latency);
        service.latencies->record(sample.latency);
    }
}

LoadReport::Totals LoadReport::totals() const
{
    const std::lock_guard guard(m_mutex);
    return m_totals;
}

std::uint64_t LoadReport::shortfall() const
{
    const std::lock_guard guard(m_mutex);
    std::uint64_t sum = 0;
    for (const auto &[customer, totals] : m_customers) {
        sum += totals.shortfall();
    }
    return sum;
}

LoadReport::Totals LoadReport::customerTotals(const std::string &customer) const
{
    const std::lock_guard guard(m_mutex);
    const auto found = m_customers.find(customer);
    return found == m_customers.end() ? Totals {} : found->second;
}

std::pair<std::string, double> LoadReport::worstServed() const
{
    const std::lock_guard guard(m_mutex);
    std::pair<std::string, double> worst { "", 1.0 };
    for (const auto &[customer, totals] : m_customers) {
        if (worst.first.empty() || totals.servedShare() < worst.second) {
            worst = { customer, totals.servedShare() };
        }
    }
    return worst;
}

Microseconds LoadReport::latency(const std::string &service, double quantile) const
{
    const std::lock_guard guard(m_mutex);
    const auto found = m_services.find(service);
    return found == m_services.end() ? Microseconds::zero() : found->second.latencies->quantile(quantile);
}

Table LoadReport::table() const
{
    const std::lock_guard guard(m_mutex);
    Table table { { "customer", "service", "sent", "answered", "p50-ms", "p99-ms", "p99.9-ms", "refused-inside-rate",
                    "regions", "not-answered" } };
    const auto addRow = [&table](const std::string &customer, const std::string &service, const Group &group) {
        table.rows.push_back(
            { customer, service, std::to_string(group.totals.sent), std::to_string(group.totals.answered),
              milliseconds(group.latencies->quantile(median)), milliseconds(group.latencies->quantile(percentile99)),
              milliseconds(group.latencies->quantile(percentile999)), std::to_string(group.totals.refusedInsideRate),
              joined(group.totals.regions), joined(group.totals.reasons) });
    };
    for (const auto &[key, group] : m_groups) {
        addRow(key.first, key.second, group);
    }
    for (const auto &[service, group] : m_services) {
        addRow("(all)", service, group);
    }
    return table;
}

std::string LoadReport::json() const
{
    const std::lock_guard guard(m_mutex);
    std::ostringstream text;
    text << "{\"sent\":" << m_totals.sent << ",\"answered\":" << m_totals.answered
         << ",\"insideRate\":" << m_totals.insideRate << ",\"refusedInsideRate\":" << m_totals.refusedInsideRate
         << ",\"groups\":[";
    const char *separator = "";
    for (const auto &[key, group] : m_groups) {
        text << separator << "{\"customer\":" << quoteJson(key.first) << ",\"service\":" << quoteJson(key.second)
             << ",\"sent\":" << group.totals.sent << ",\"answered\":" << group.totals.answered
             << ",\"refusedInsideRate\":" << group.totals.refusedInsideRate
             << ",\"p50Microseconds\":" << group.latencies->quantile(median).count()
             << ",\"p99Microseconds\":" << group.latencies->quantile(percentile99).count()
             << ",\"p999Microseconds\":" << group.latencies->quantile(percentile999).count()
             << ",\"regions\":" << jsonOf(group.totals.regions) << ",\"notAnswered\":" << jsonOf(group.totals.reasons)
             << "}";
        separator = ",";
    }
    text << "]}";
    return text.str();
}

} // namespace Sapphire
