#pragma once

#include <LibCore/Metrics.h>
#include <LibOperator/Table.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace Sapphire {

/// How one request of the load ended.
struct LoadSample
{
    std::string customer;
    std::string service;
    bool isAnswered { false };
    std::string reason {}; ///< Of the refusal or error, if it was not answered.
    std::string region {}; ///< Of the VM that ran it.
    Microseconds latency {}; ///< From the intended start.
    bool isInsideRate { true }; ///< As one token bucket for the whole customer would decide.
};

/// Collects samples and reports counts and latencies as callers see them. Safe to call from any thread.
class LoadReport
{
public:
    void add(const LoadSample &sample);

    struct Totals
    {
        std::uint64_t sent { 0 };
        std::uint64_t answered { 0 };
        std::uint64_t insideRate { 0 };
        /// Refused as over the rate although a single bucket would have admitted it. If the customer sends above its
        /// rate, the system may have admitted other requests instead.
        std::uint64_t refusedInsideRate { 0 };
        std::uint64_t insideRateUnserved { 0 }; ///< Inside the rate and not answered, for whatever reason.
        std::map<std::string, std::uint64_t> reasons {};
        std::map<std::string, std::uint64_t> regions {};

        /// Returns by how many the requests inside the rate exceed the answers, or 0.
        std::uint64_t shortfall() const
        {
            return insideRate > answered ? insideRate - answered : 0;
        }
        /// Returns the answers relative to the requests inside the rate, at most 1.
        double servedShare() const
        {
            return insideRate == 0 ? 1.0 : 1.0 - static_cast<double>(shortfall()) / static_cast<double>(insideRate);
        }
    };

    Totals totals() const;
    /// Returns the sum of the customers' shortfalls.
    std::uint64_t shortfall() const;
    Totals customerTotals(const std::string &customer) const;
    /// Returns the customer with the lowest servedShare(), and that share.
    std::pair<std::string, double> worstServed() const;
    /// Returns zero if the service was not used.
    Microseconds latency(const std::string &service, double quantile) const;

    Table table() const;
    std::string json() const;

private:
    struct Group
    {
        Totals totals;
        std::unique_ptr<LatencyHistogram> latencies { std::make_unique<LatencyHistogram>() };
    };

    static void count(Totals &totals, const LoadSample &sample);

    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, Group> m_groups; ///< By customer and service.
    std::map<std::string, Group> m_services;
    std::map<std::string, Totals> m_customers;
    Totals m_totals;
};

} // namespace Sapphire
