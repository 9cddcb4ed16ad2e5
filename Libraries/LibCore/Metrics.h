#pragma once

#include <LibCore/Deadline.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Sapphire {

/// A counter that only increases.
class Counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }
    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

/// A distribution of latencies in logarithmic buckets from 10 µs to 100 s, by Boost.Histogram.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram &operator=(const LatencyHistogram &) = delete;

    void record(Microseconds latency);
    std::uint64_t count() const;
    /// Returns the upper edge of the bucket that holds the quantile; zero if nothing was recorded.
    Microseconds quantile(double quantile) const;

    /// Writes the Prometheus lines of a histogram with the given name and labels (without braces).
    std::string prometheusText(const std::string &name, const std::string &labels) const;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

/// Owns the metrics of a process and writes them in the Prometheus text format.
class Metrics
{
public:
    /// Returns the counter with that name and those labels, for example `service="status",verdict="ran"`. The first
    /// call creates it.
    Counter &counter(const std::string &name, const std::string &labels = "");
    LatencyHistogram &histogram(const std::string &name, const std::string &labels = "");
    /// Registers a function that each scrape calls for the value. What it refers to must outlive the scrapes.
    void gauge(const std::string &name, const std::string &labels, std::function<double()> read);

    std::string prometheusText() const;

private:
    using Key = std::pair<std::string, std::string>;

    mutable std::mutex m_mutex;
    std::map<Key, std::unique_ptr<Counter>> m_counters;
    std::map<Key, std::unique_ptr<LatencyHistogram>> m_histograms;
    std::map<Key, std::function<double()>> m_gauges;
};

} // namespace Sapphire
