#include <SapphireLoad/LoadRun.h>

#include <SapphireLoad/ReferenceBucket.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <thread>

namespace Sapphire {

namespace {

constexpr Milliseconds startDelay { 50 };

template<typename Items>
std::size_t pickByShare(const Items &items, RandomSource &random)
{
    double total = 0;
    for (const auto &item : items) {
        total += item.share;
    }
    double point = random.unit() * total;
    for (std::size_t i = 0; i + 1 < items.size(); ++i) {
        point -= items[i].share;
        if (point < 0) {
            return i;
        }
    }
    return items.size() - 1;
}

} // namespace

LoadRun::LoadRun(LoadPlan plan) : m_plan(std::move(plan))
{
}

std::vector<LoadRun::Arrival> LoadRun::plannedArrivals(TimePoint start) const
{
    std::vector<Arrival> arrivals;
    for (std::size_t index = 0; index < m_plan.customers.size(); ++index) {
        const LoadCustomer &customer = m_plan.customers[index];
        if (customer.requestsPerSecond <= 0) {
            continue;
        }
        RandomSource random(m_plan.seed * 1'000 + index);
        ReferenceBucket bucket(customer.rate, customer.burst);
        TimePoint at = start;
        while (true) {
            const double gapSeconds = -std::log(1.0 - random.unit()) / customer.requestsPerSecond;
            at += Microseconds(static_cast<std::int64_t>(gapSeconds * 1e6));
            if (at >= start + m_plan.duration) {
                break;
            }
            arrivals.push_back({ at, index, pickByShare(m_plan.routes, random), pickByShare(m_plan.origins, random),
                                 bucket.admit(at), 0 });
        }
    }
    std::sort(arrivals.begin(), arrivals.end(), [](const Arrival &left, const Arrival &right) {
        return left.at < right.at;
    });
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        arrivals[i].number = i;
    }
    return arrivals;
}

void LoadRun::run(LoadReport &report, const std::function<void(const std::string &, const LoadAnswer &)> &observer)
{
    const BootClock clock;
    const std::vector<Arrival> arrivals = plannedArrivals(clock.now() + startDelay);
    const std::string runName = RandomSource::seededBySystem().hexDigits(8);
    LookUpCache cache;
    std::atomic<std::size_t> next { 0 };
    std::vector<std::thread> workers;
    workers.reserve(static_cast<std::size_t>(m_plan.workers));
    for (int worker = 0; worker < m_plan.workers; ++worker) {
        workers.emplace_back([&, worker] {
            LoadCaller caller(m_plan, cache, m_plan.seed * 100'000 + static_cast<std::uint64_t>(worker));
            for (std::size_t i = next++; i < arrivals.size(); i = next++) {
                const Arrival &arrival = arrivals[i];
                const TimePoint now = clock.now();
                if (arrival.at > now) {
                    std::this_thread::sleep_for(arrival.at - now);
                }
                const LoadCustomer &customer = m_plan.customers[arrival.customer];
                const LoadRoute &route = m_plan.routes[arrival.route];
                const std::string suffix = runName + "-" + std::to_string(arrival.number);
                const LoadAnswer answer = caller.call(customer, route, m_plan.origins[arrival.origin], suffix);
                const bool isAnswered = answer.status >= 200 && answer.status < 300;
                report.add({ customer.name, route.service, isAnswered, answer.reason, answer.region,
                             clock.now() - arrival.at, arrival.isInsideRate });
                if (observer) {
                    observer(suffix, answer);
                }
            }
        });
    }
    for (std::thread &worker : workers) {
        worker.join();
    }
}

} // namespace Sapphire
