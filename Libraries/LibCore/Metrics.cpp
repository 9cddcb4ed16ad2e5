#include <LibCore/Metrics.h>

#include <boost/histogram.hpp>

#include <sstream>

namespace Sapphire {

namespace {

namespace histogram = boost::histogram;

// 20 buckets per decade bound the error of a quantile to about 12%.
constexpr unsigned bucketCount = 140;
constexpr double lowestEdgeMicroseconds = 10.0;
constexpr double highestEdgeMicroseconds = 100'000'000.0;
constexpr double microsecondsPerSecond = 1'000'000.0;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;

std::string braced(const std::string &labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

std::string withLabel(const std::string &labels, const std::string &label)
{
    return "{" + (labels.empty() ? label : labels + "," + label) + "}";
}

} // namespace

struct LatencyHistogram::Data
{
    mutable std::mutex mutex;
    decltype(histogram::make_histogram(Axis(bucketCount, lowestEdgeMicroseconds, highestEdgeMicroseconds))) buckets =
        histogram::make_histogram(Axis(bucketCount, lowestEdgeMicroseconds, highestEdgeMicroseconds));
    std::uint64_t count { 0 };
    double sumMicroseconds { 0 };
};

LatencyHistogram::LatencyHistogram() : m_data(std::make_unique<Data>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Microseconds latency)
{
    const std::lock_guard guard(m_data->mutex);
    m_data->buckets(static_cast<double>(latency.count()));
    ++m_data->count;
    m_data->sumMicroseconds += static_cast<double>(latency.count());
}

std::uint64_t LatencyHistogram::count() const
{
    const std::lock_guard guard(m_data->mutex);
    return m_data->count;
}

Microseconds LatencyHistogram::quantile(double quantile) const
{
    const std::lock_guard guard(m_data->mutex);
    if (m_data->count == 0) {
        return Microseconds::zero();
    }
    const double targetCount = quantile * static_cast<double>(m_data->count);
    double cumulativeCount = 0;
    for (int index = -1; index < static_cast<int>(bucketCount); ++index) {
        cumulativeCount += static_cast<double>(m_data->buckets.at(index));
        if (cumulativeCount >= targetCount) {
            return Microseconds(static_cast<std::int64_t>(m_data->buckets.axis().value(index + 1)));
        }
    }
    return Microseconds(static_cast<std::int64_t>(highestEdgeMicroseconds));
}

std::string LatencyHistogram::prometheusText(const std::string &name, const std::string &labels) const
{
    const std::lock_guard guard(m_data->mutex);
    std::ostringstream text;
    double cumulativeCount = 0;
    for (int index = -1; index < static_cast<int>(bucketCount); ++index) {
        const auto inBucket = static_cast<double>(m_data->buckets.at(index));
        if (inBucket == 0) {
            continue;
        }
        cumulativeCount += inBucket;
        const double edgeSeconds = m_data->buckets.axis().value(index + 1) / microsecondsPerSecond;
        text << name << "_bucket" << withLabel(labels, "le=\"" + std::to_string(edgeSeconds) + "\"") << ' '
             << cumulativeCount << '\n';
    }
    text << name << "_bucket" << withLabel(labels, "le=\"+Inf\"") << ' ' << m_data->count << '\n';
    text << name << "_sum" << braced(labels) << ' ' << m_data->sumMicroseconds / microsecondsPerSecond << '\n';
    text << name << "_count" << braced(labels) << ' ' << m_data->count << '\n';
    return text.str();
}

Counter &Metrics::counter(const std::string &name, const std::string &labels)
{
    const std::lock_guard guard(m_mutex);
    std::unique_ptr<Counter> &entry = m_counters[{ name, labels }];
    if (!entry) {
        entry = std::make_unique<Counter>();
    }
    return *entry;
}

LatencyHistogram &Metrics::histogram(const std::string &name, const std::string &labels)
{
    const std::lock_guard guard(m_mutex);
    std::unique_ptr<LatencyHistogram> &entry = m_histograms[{ name, labels }];
    if (!entry) {
        entry = std::make_unique<LatencyHistogram>();
    }
    return *entry;
}

void Metrics::gauge(const std::string &name, const std::string &labels, std::function<double()> read)
{
    const std::lock_guard guard(m_mutex);
    m_gauges[{ name, labels }] = std::move(read);
}

std::string Metrics::prometheusText() const
{
    const std::lock_guard guard(m_mutex);
    std::ostringstream text;
    std::string lastName;
    const auto writeType = [&](const std::string &name, const char *type) {
        if (name != lastName) {
            text << "# TYPE " << name << ' ' << type << '\n';
            lastName = name;
        }
    };
    for (const auto &[key, entry] : m_counters) {
        writeType(key.first, "counter");
        text << key.first << braced(key.second) << ' ' << entry->value() << '\n';
    }
    for (const auto &[key, read] : m_gauges) {
        writeType(key.first, "gauge");
        text << key.first << braced(key.second) << ' ' << read() << '\n';
    }
    for (const auto &[key, entry] : m_histograms) {
        writeType(key.first, "histogram");
        text << entry->prometheusText(key.first, key.second);
    }
    return text.str();
}

} // namespace Sapphire
