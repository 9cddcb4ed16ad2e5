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

/// What callers were told of one request id.
struct ToldOfId
{
    int ran { 0 };
    int mayHaveRun { 0 };
    std::vector<TimePoint> notRunAt; ///< When each "not run" arrived.
    std::vector<std::string> notRunReasons {}; ///< VM and reason of each.
    int withoutAnswer { 0 };
};

/// Callers that book from several threads and send an id again, also to other VMs, after an error or a refusal.
class BookingStorm
{
public:
    BookingStorm(Deployment &deployment, std::uint64_t seed, int callers, std::string customer)
        : m_deployment(deployment), m_seed(seed), m_callers(callers), m_customer(std::move(customer))
    {
        for (const DeployedVm &vm : deployment.vms()) {
            m_vms.push_back(vm.vm.text());
        }
    }
    ~BookingStorm()
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

    std::map<std::string, ToldOfId> told() const
    {
        const std::lock_guard guard(m_mutex);
        return m_told;
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

    /// Returns whether the caller was told that the request ran.
    bool send(const std::string &vm, const std::string &id)
    {
        const Outcome<HttpAnswer> answer =
            request(m_deployment, vm, m_customer, "POST", "/v1/services/booking/bookings", id, Milliseconds(1'500));
        const std::string verdict = verdictOf(answer);
        const std::lock_guard guard(m_mutex);
        ToldOfId &told = m_told[id];
        if (verdict == "ran") {
            ++told.ran;
        } else if (verdict == "not-run") {
            told.notRunAt.push_back(m_clock.now());
            told.notRunReasons.push_back(vm + " " + reasonOf(answer));
        } else if (verdict == "may-have-run") {
            ++told.mayHaveRun;
        } else {
            ++told.withoutAnswer;
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
    std::map<std::string, ToldOfId> m_told;
};

/// What a storm showed, checked against the targets' ledger.
struct StormResult
{
    std::size_t ids { 0 };
    std::size_t ran { 0 }; ///< Ids that a target ran.
    std::size_t ranTwice { 0 };
    std::size_t untrueNotRun { 0 }; ///< Ids that ran before a caller was told "not run".
    std::size_t untrueRan { 0 }; ///< Ids that no target ran although a caller was told so.
    std::size_t uncertain { 0 }; ///< Ids of which callers were told nothing but "may have run".
    std::size_t withoutAnswer { 0 };
};

inline StormResult checkStorm(Deployment &deployment, const BookingStorm &storm)
{
    const auto ledger = ledgerById(deployment);
    StormResult result;
    for (const auto &[id, runs] : ledger) {
        result.ranTwice += runs.size() > 1 ? 1 : 0;
    }
    for (const auto &[id, told] : storm.told()) {
        const auto runs = ledger.find(id);
        const bool hasRun = runs != ledger.end();
        ++result.ids;
        result.ran += hasRun ? 1 : 0;
        result.untrueRan += told.ran > 0 && !hasRun ? 1 : 0;
        result.uncertain += told.ran == 0 && told.mayHaveRun > 0 && told.notRunAt.empty() ? 1 : 0;
        result.withoutAnswer += static_cast<std::size_t>(told.withoutAnswer);
        for (std::size_t i = 0; i < told.notRunAt.size(); ++i) {
            if (hasRun && runs->second.front().startedAt < told.notRunAt[i]) {
                ++result.untrueNotRun;
                const auto elapsed =
                    std::chrono::duration_cast<Milliseconds>(told.notRunAt[i] - runs->second.front().startedAt);
                std::cout << "  untrue not-run: " << id << " ran at " << runs->second.front().target << ", "
                          << elapsed.count() << " ms later " << told.notRunReasons[i] << "; told ran " << told.ran
                          << ", may-have-run " << told.mayHaveRun << ", without answer " << told.withoutAnswer
                          << std::endl;
            }
        }
    }
    return result;
}

/// Prints what came of a storm, and checks that no booking ran twice and that what its callers were told is true.
inline void checkAndPrint(const std::string &what, Deployment &deployment, const BookingStorm &storm,
                          std::size_t leastIds)
{
    const StormResult result = checkStorm(deployment, storm);
    std::cout << what << " (seed " << storm.seed() << "): " << result.ids << " ids, " << result.ran << " ran, "
              << result.ranTwice << " twice, " << result.untrueNotRun << " untrue not-run, " << result.untrueRan
              << " untrue ran, " << result.uncertain << " known only as may-have-run, " << result.withoutAnswer
              << " attempts without an answer" << std::endl;
    const std::uint64_t seed = storm.seed();
    CAPTURE(seed);
    CHECK(result.ids > leastIds);
    CHECK(result.ran > 50);
    CHECK(result.ranTwice == 0);
    CHECK(result.untrueNotRun == 0);
    CHECK(result.untrueRan == 0);
}

} // namespace Sapphire
