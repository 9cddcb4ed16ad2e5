#pragma once

#include <Integration/IntegrationFixture.h>
#include <LibCore/RandomSource.h>

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Sapphire {

/// A request of UpgradeCallers and its outcome.
struct UpgradeRequest
{
    std::string customer;
    std::string id; ///< Empty for a read.
    std::string vm;
    int status { 0 }; ///< 0 without a complete answer.
    std::string reason;
    std::string verdict;

    bool isServed() const
    {
        return status == 200 && reason.empty();
    }
};

/// Callers that ask a VM for the VMs to use, keep the answer for its time to live, and read and book through them.
class UpgradeCallers
{
public:
    UpgradeCallers(Deployment &deployment, std::string customer, int callers, Milliseconds pause)
        : m_deployment(deployment), m_customer(std::move(customer)), m_pause(pause)
    {
        for (int i = 0; i < callers; ++i) {
            m_threads.emplace_back([this, i] {
                run(static_cast<std::uint64_t>(i));
            });
        }
    }
    ~UpgradeCallers()
    {
        stop();
    }
    UpgradeCallers(const UpgradeCallers &) = delete;
    UpgradeCallers &operator=(const UpgradeCallers &) = delete;

    /// Ends the callers and returns all requests.
    std::vector<UpgradeRequest> stop()
    {
        m_isStopping = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
        return m_requests;
    }

private:
    void run(std::uint64_t caller)
    {
        constexpr Milliseconds timeToLive { 5'000 };
        constexpr std::uint64_t readsPerBooking = 3;
        RandomSource random(caller + 1);
        std::vector<std::string> vms { m_deployment.vms().front().vm.text() };
        Deadline lookUpAgain(m_clock.now());
        for (int number = 0; !m_isStopping; ++number) {
            if (lookUpAgain.hasPassed(m_clock.now())) {
                const TimePoint sentAt = m_clock.now();
                vms = lookUp(vms);
                lookUpAgain = Deadline::after(sentAt, timeToLive);
            }
            const std::string &vm = vms[random.below(vms.size())];
            const bool isBooking = random.below(readsPerBooking + 1) == 0;
            const std::string id = m_customer + "-" + std::to_string(caller) + "-" + std::to_string(number);
            send(vm, isBooking ? id : "");
            std::this_thread::sleep_for(m_pause);
        }
    }

    std::vector<std::string> lookUp(const std::vector<std::string> &vms)
    {
        for (const std::string &vm : vms) {
            const auto answer = request(m_deployment, vm, m_customer, "GET", "/v1/lookup?service=status");
            if (answer && answer.value().status == 200) {
                return vmsOfLookUp(answer.value());
            }
        }
        const std::lock_guard guard(m_mutex);
        m_requests.push_back({ m_customer, "", vms.front(), 0, "no VM answered a look-up", "" });
        return vms;
    }

    void send(const std::string &vm, const std::string &id)
    {
        const bool isBooking = !id.empty();
        const Outcome<HttpAnswer> answer =
            request(m_deployment, vm, m_customer, isBooking ? "POST" : "GET",
                    isBooking ? "/v1/services/booking/bookings" : "/v1/services/status/lines", id);
        const std::lock_guard guard(m_mutex);
        m_requests.push_back(
            { m_customer, id, vm, answer ? answer.value().status : 0, reasonOf(answer), verdictOf(answer) });
    }

    Deployment &m_deployment;
    std::string m_customer;
    Milliseconds m_pause;
    BootClock m_clock;
    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    std::vector<UpgradeRequest> m_requests;
    std::vector<std::thread> m_threads;
};

} // namespace Sapphire
