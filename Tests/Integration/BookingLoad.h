#pragma once

#include <Integration/IntegrationFixture.h>
#include <Integration/TargetLedger.h>
#include <LibCore/RandomSource.h>

#include <atomic>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Sapphire {

/// The verdicts that callers received for one request id.
struct IdVerdicts
{
    int ran { 0 };
    int mayHaveRun { 0 };
    std::vector<TimePoint> notRunAt; ///< When each "not run" arrived.
    std::vector<std::string> notRunReasons {}; ///< VM and reason of each.
    int withoutAnswer { 0 };
};

/// Sends bookings from several threads. A caller sends an id again, also to other VMs, after an error or a refusal, and
/// sometimes after a success.
class BookingLoad
{
public:
    BookingLoad(Deployment &deployment, std::uint64_t seed, int callers, std::string customer)
        : m_deployment(deployment), m_seed(seed), m_callers(callers), m_customer(std::move(customer))
    {
        for (const DeployedVm &vm : deployment.vms()) {
            m_vms.push_back(vm.vm.text());
        }
    }
    ~BookingLoad()
    {
        stop();
    }

    std::uint64_t seed() const
    {
        return m_seed;
    }
    void start()
    {
        for (int caller = 0; caller < m_callers; ++caller) {
            m_threads.emplace_back([this, caller] {
                run(caller);
            });
        }
    }
    void stop()
    {
        m_isStopping = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
    }

    std::map<std::string, IdVerdicts> verdicts() const
    {
        const std::lock_guard guard(m_mutex);
        return m_verdicts;
    }

private:
    void run(int caller)
    {
        RandomSource random(m_seed * 1'000 + static_cast<std::uint64_t>(caller));
        for (int number = 0; !m_isStopping; ++number) {
            const std::string suffix =
                "s" + std::to_string(m_seed) + "-" + std::to_string(caller) + "-" + std::to_string(number);
            std::string id = suffix;
            const std::string &issuer = m_vms[random.below(m_vms.size())];
            if (random.below(4) != 0) {
                id = issuedPrefix(issuer) + suffix;
            }
            std::string vm = issuer;
            for (int attempt = 0; attempt < 3 && !m_isStopping; ++attempt) {
                if (send(vm, id) && random.below(10) != 0) {
                    break;
                }
                vm = m_vms[random.below(m_vms.size())];
                std::this_thread::sleep_for(Milliseconds(random.below(100)));
            }
        }
    }

    std::string issuedPrefix(const std::string &vm)
    {
        const Outcome<HttpAnswer> answer =
            request(m_deployment, vm, m_customer, "GET", "/v1/lookup", "", Milliseconds(1'000));
        if (!answer || answer.value().status != 200) {
            return "";
        }
        return parseObject(answer.value().body)->getValue<std::string>("requestIdPrefix");
    }

    /// Returns whether the answer's verdict is that the request ran.
    bool send(const std::string &vm, const std::string &id)
    {
        const Outcome<HttpAnswer> answer =
            request(m_deployment, vm, m_customer, "POST", "/v1/services/booking/bookings", id, Milliseconds(1'500));
        const std::string verdict = verdictOf(answer);
        const std::lock_guard guard(m_mutex);
        IdVerdicts &verdicts = m_verdicts[id];
        if (verdict == "ran") {
            ++verdicts.ran;
        } else if (verdict == "not-run") {
            verdicts.notRunAt.push_back(m_clock.now());
            verdicts.notRunReasons.push_back(vm + " " + reasonOf(answer));
        } else if (verdict == "may-have-run") {
            ++verdicts.mayHaveRun;
        } else {
            ++verdicts.withoutAnswer;
        }
        return verdict == "ran";
    }

    Deployment &m_deployment;
    std::uint64_t m_seed;
    int m_callers;
    std::string m_customer;
    std::vector<std::string> m_vms;
    BootClock m_clock;
    std::atomic<bool> m_isStopping { false };
    std::vector<std::thread> m_threads;
    mutable std::mutex m_mutex;
    std::map<std::string, IdVerdicts> m_verdicts;
};

/// The verdicts of a booking load, compared with the targets' ledger.
struct BookingResult
{
    std::size_t ids { 0 };
    std::size_t ran { 0 }; ///< Ids that a target ran.
    std::size_t ranTwice { 0 };
    std::size_t falseNotRun { 0 }; ///< Answers "not run" that arrived after a target had started to run the id.
    std::size_t falseRan { 0 }; ///< Ids that no target ran although a caller received "ran".
    std::size_t uncertain { 0 }; ///< Ids whose only verdict is "may have run".
    std::size_t withoutAnswer { 0 };
};

inline BookingResult checkBookings(Deployment &deployment, const BookingLoad &bookings)
{
    const auto ledger = ledgerById(deployment);
    BookingResult result;
    for (const auto &[id, runs] : ledger) {
        result.ranTwice += runs.size() > 1 ? 1 : 0;
    }
    for (const auto &[id, verdicts] : bookings.verdicts()) {
        const auto runs = ledger.find(id);
        const bool hasRun = runs != ledger.end();
        ++result.ids;
        result.ran += hasRun ? 1 : 0;
        result.falseRan += verdicts.ran > 0 && !hasRun ? 1 : 0;
        result.uncertain += verdicts.ran == 0 && verdicts.mayHaveRun > 0 && verdicts.notRunAt.empty() ? 1 : 0;
        result.withoutAnswer += static_cast<std::size_t>(verdicts.withoutAnswer);
        for (std::size_t i = 0; i < verdicts.notRunAt.size(); ++i) {
            if (hasRun && runs->second.front().startedAt < verdicts.notRunAt[i]) {
                ++result.falseNotRun;
                const auto elapsed =
                    std::chrono::duration_cast<Milliseconds>(verdicts.notRunAt[i] - runs->second.front().startedAt);
                std::cout << "  false not-run: " << id << " ran at " << runs->second.front().target << ", "
                          << elapsed.count() << " ms later " << verdicts.notRunReasons[i] << "; verdicts: ran "
                          << verdicts.ran << ", may-have-run " << verdicts.mayHaveRun << ", without answer "
                          << verdicts.withoutAnswer << std::endl;
            }
        }
    }
    return result;
}

/// Prints the result of a booking load, and checks that no booking ran twice and that all verdicts were true.
inline void checkAndPrint(const std::string &what, Deployment &deployment, const BookingLoad &bookings,
                          std::size_t minIds)
{
    const BookingResult result = checkBookings(deployment, bookings);
    std::cout << what << " (seed " << bookings.seed() << "): " << result.ids << " ids, " << result.ran << " ran, "
              << result.ranTwice << " twice, " << result.falseNotRun << " false not-run, " << result.falseRan
              << " false ran, " << result.uncertain << " known only as may-have-run, " << result.withoutAnswer
              << " attempts without an answer" << std::endl;
    const std::uint64_t seed = bookings.seed();
    CAPTURE(seed);
    CHECK(result.ids > minIds);
    CHECK(result.ran > 50);
    CHECK(result.ranTwice == 0);
    CHECK(result.falseNotRun == 0);
    CHECK(result.falseRan == 0);
}

} // namespace Sapphire
