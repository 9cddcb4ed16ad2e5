#include <Harness/StallWatch.h>
#include <Integration/IntegrationFixture.h>
#include <Integration/KeepAliveCaller.h>
#include <LibCore/RandomSource.h>

#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

using namespace Sapphire;

namespace {

constexpr std::uint64_t seed = 83;
const std::string customer = "bodega-andina";
const std::string servicePath = "/v1/services/status";
// The deadline of each request of a KeepAliveCaller and of each booking.
constexpr Milliseconds requestDeadline { 2'000 };
constexpr Milliseconds watchTime { 6'000 };
constexpr Milliseconds startLimit { 10'000 };

std::unique_ptr<Deployment> deploymentForAnswers()
{
    auto deployment = startDeployment();
    const auto answer = command(*deployment, "cuyo-a-1", "set customer " + customer + " rate 2000 burst 500");
    REQUIRE(outcomeOf(answer) == "in-force");
    return deployment;
}

struct AnswerCounts
{
    int whole { 0 };
    int errors { 0 };
    int truncated { 0 }; ///< Truncated answers that were forwarded as if they were complete.
};

/// Sends a request for an answer of a random size and counts what the caller sees.
void requestRandomSize(Deployment &deployment, RandomSource &random, AnswerCounts &counts)
{
    constexpr std::uint64_t mostBytes = 200'000;
    const std::uint64_t bytes = 4'000 + random.below(mostBytes);
    const std::string chunked = random.below(2) == 0 ? "&chunked=1" : "";
    const std::string vm = deployment.vms()[random.below(deployment.vms().size())].vm.text();
    const auto answer =
        request(deployment, vm, customer, "GET", servicePath + "/history?bytes=" + std::to_string(bytes) + chunked);
    if (!answer || answer.value().status != 200) {
        ++counts.errors;
    } else if (answer.value().body == std::string(bytes, 'x')) {
        ++counts.whole;
    } else {
        ++counts.truncated;
        MESSAGE("found " << answer.value().body.size() << " bytes, expected " << bytes << chunked);
    }
}

void printAndCheck(const std::string &what, const AnswerCounts &counts)
{
    std::cout << what << " (seed " << seed << "): " << counts.whole << " whole, " << counts.errors
              << " errors to the caller, " << counts.truncated << " forwarded truncated" << std::endl;
    CAPTURE(seed);
    CHECK(counts.truncated == 0);
}

/// Checks that complete answers arrive once the faults have ended, so that the errors before came from the faults.
void checkAnswersRecover(Deployment &deployment, RandomSource &random, AnswerCounts &counts)
{
    const int before = counts.whole;
    constexpr int wanted = 10;
    CHECK(waitFor(
        [&] {
            requestRandomSize(deployment, random, counts);
            return counts.whole >= before + wanted;
        },
        after(startLimit)));
}

std::vector<std::unique_ptr<KeepAliveCaller>> callersAtEachVm(Deployment &deployment, int perVm)
{
    std::vector<std::unique_ptr<KeepAliveCaller>> callers;
    for (const DeployedVm &vm : deployment.vms()) {
        for (int i = 0; i < perVm; ++i) {
            callers.push_back(std::make_unique<KeepAliveCaller>(vm.vm.text(), vm.callerAddress,
                                                                deployment.key(customer), servicePath + "/lines"));
        }
    }
    for (const auto &caller : callers) {
        constexpr int servedBefore = 10;
        REQUIRE(waitFor(
            [&] {
                const auto seen = caller->seen();
                return std::count_if(seen.begin(), seen.end(),
                                     [](const SeenAnswer &answer) {
                                         return answer.isServed();
                                     })
                    >= servedBefore;
            },
            after(startLimit)));
    }
    return callers;
}

/// Checks that each request that was sent one request deadline after the start or later is served.
void checkRecovery(const std::vector<std::unique_ptr<KeepAliveCaller>> &callers, TimePoint start)
{
    const BootClock clock;
    StallWatch stalls;
    REQUIRE(waitFor(
        [&] {
            return clock.now() - start >= watchTime;
        },
        after(watchTime + requestDeadline)));
    TimePoint lastFailure = start;
    int failures = 0;
    std::size_t servedAfter = 0;
    for (const auto &caller : callers) {
        caller->stop();
        for (const SeenAnswer &answer : caller->seenSince(start)) {
            if (!answer.isServedWithinRate()) {
                ++failures;
                lastFailure = std::max(lastFailure, answer.sentAt);
            }
            if (answer.sentAt - start >= requestDeadline) {
                servedAfter += answer.isServed() ? 1 : 0;
                CAPTURE(caller->vm());
                CAPTURE(answer.reason);
                CHECK(answer.isServedWithinRate());
            }
        }
    }
    std::cout << "  " << failures << " requests failed, the last one sent "
              << std::chrono::duration_cast<Milliseconds>(lastFailure - start).count() << " ms after the fault; "
              << servedAfter << " served that were sent later than one deadline; a thread of the test was late by "
              << stalls.stop().count() << " ms at most" << std::endl;
    CHECK(servedAfter > 100);
}

} // namespace

TEST_CASE("An answer that a target truncates is an error for the caller")
{
    // Guards against a truncated answer that looks like a short success, with a known length, in chunks, and by reset.
    const auto deployment = deploymentForAnswers();
    RandomSource random(seed);
    AnswerCounts counts;
    for (int number = 0; number < 60; ++number) {
        const std::string reset = std::to_string(random.below(2));
        expect([&] {
            return deployment->targetControl("/control/set?target=*&cutAnswers=3&cutsByReset=" + reset);
        });
        requestRandomSize(*deployment, random, counts);
    }
    CHECK(counts.errors > 0);
    expect([&] {
        return deployment->targetControl("/control/set?target=*&cutAnswers=0");
    });
    checkAnswersRecover(*deployment, random, counts);
    printAndCheck("answers cut by the target", counts);
}

TEST_CASE("An answer that the network truncates is an error for the caller")
{
    // Guards against taking the end of a connection within an answer for the end of the answer.
    const auto deployment = deploymentForAnswers();
    RandomSource random(seed + 1);
    AnswerCounts counts;
    for (int number = 0; number < 60; ++number) {
        FaultCommand fault;
        fault.name = "target:";
        fault.isPrefix = true;
        // Health answers are shorter, so that they stay complete.
        fault.faults.truncateAnswerAfter = 1'000 + random.below(100'000);
        expect([&] {
            return deployment->proxy().apply(fault);
        });
        requestRandomSize(*deployment, random, counts);
    }
    CHECK(counts.errors > 0);
    expect([&] {
        return deployment->healNetwork();
    });
    checkAnswersRecover(*deployment, random, counts);
    printAndCheck("answers cut by the network", counts);
}

TEST_CASE("A late answer never reaches another caller")
{
    // Guards against a connection that goes back to the pool although an answer is still pending.
    const auto deployment = deploymentForAnswers();
    std::atomic<bool> isStopping { false };
    std::atomic<int> whole { 0 };
    std::atomic<int> late { 0 };
    std::atomic<int> foreign { 0 };
    std::vector<std::thread> callers;
    for (std::uint64_t caller = 0; caller < 12; ++caller) {
        callers.emplace_back([&, caller] {
            RandomSource random(seed * 1'000 + caller);
            for (int number = 0; !isStopping; ++number) {
                const std::string own = std::to_string(caller) + "-" + std::to_string(number);
                const std::string body = own + " " + std::string(random.below(3'000), 'b');
                const DeployedVm &vm = deployment->vms()[random.below(deployment->vms().size())];
                const std::string timeout = std::to_string(50 + random.below(500));
                std::string url = "http://";
                url += vm.callerAddress;
                url += servicePath;
                url += "/";
                url += own;
                url += "?echo=1";
                const auto answer = capture([&] {
                    return HttpCall { "PUT",
                                      url,
                                      { { "Authorization", "Bearer " + deployment->key(customer) },
                                        { "Request-Timeout-Ms", timeout },
                                        { "Content-Length", std::to_string(body.size()) } },
                                      body }
                        .run();
                });
                if (!answer || answer.value().status != 200) {
                    ++late;
                } else if (answer.value().body == body) {
                    ++whole;
                } else {
                    ++foreign;
                }
            }
        });
    }
    RandomSource random(seed + 2);
    const Deadline end = after(Milliseconds(6'000));
    const BootClock clock;
    while (!end.hasPassed(clock.now())) {
        const DeployedTarget &target = deployment->targets()[random.below(deployment->targets().size())];
        std::string set = "/control/set?target=";
        set += target.target.text();
        set += "&answerDelayMs=";
        set += std::to_string(random.below(3) * 200);
        capture([&] {
            return deployment->targetControl(set);
        });
        std::this_thread::sleep_for(Milliseconds(20));
    }
    isStopping = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    std::cout << "late answers (seed " << seed << "): " << whole << " own answers, " << late << " errors, " << foreign
              << " answers of others" << std::endl;
    CAPTURE(seed);
    CHECK(foreign == 0);
    CHECK(whole > 100);
    CHECK(late > 10);
}

TEST_CASE("Requests recover when connections to targets go silent permanently")
{
    // Guards against a pool that hands out one silent connection after the other.
    const auto deployment = deploymentForAnswers();
    const auto callers = callersAtEachVm(*deployment, 3);
    const TimePoint start = BootClock().now();
    expect([&] {
        return deployment->proxy().silenceExisting("target:");
    });
    std::cout << "connections to targets silent:" << std::endl;
    checkRecovery(callers, start);
}

TEST_CASE("Requests recover when connections between VMs go silent permanently")
{
    // Guards against channels that never reconnect. While the store is down, freshness depends on them alone.
    const auto deployment = deploymentForAnswers();
    const auto callers = callersAtEachVm(*deployment, 1);
    expect([&] {
        return deployment->platform().setOutage(OutageMode::Refuse);
    });
    const TimePoint start = BootClock().now();
    expect([&] {
        return deployment->proxy().silenceExisting("fleet:");
    });
    std::cout << "connections between VMs silent, store down:" << std::endl;
    checkRecovery(callers, start);
}

TEST_CASE("Bookings recover when connections to the store go silent permanently")
{
    // Guards against a client that waits on a silent connection for every request.
    const auto deployment = deploymentForAnswers();
    const auto callers = callersAtEachVm(*deployment, 1);
    const BootClock clock;
    const TimePoint start = clock.now();
    expect([&] {
        return deployment->proxy().silenceExisting("store:");
    });
    std::atomic<int> ran { 0 };
    std::mutex mutex;
    std::vector<std::string> failures;
    std::vector<std::thread> threads;
    for (const DeployedVm &vm : deployment->vms()) {
        threads.emplace_back([&, name = vm.vm.text()] {
            for (int number = 0; clock.now() - start < watchTime; ++number) {
                const TimePoint sentAt = clock.now();
                const auto answer = request(*deployment, name, customer, "POST", "/v1/services/booking/bookings",
                                            "free-" + name + "-" + std::to_string(number), requestDeadline);
                if (verdictOf(answer) == "ran") {
                    ++ran;
                } else if (sentAt - start >= requestDeadline) {
                    const std::lock_guard guard(mutex);
                    failures.push_back(name + ": " + reasonOf(answer));
                }
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::cout << "connections to the store silent: " << ran << " bookings ran, " << failures.size()
              << " sent later than one deadline failed" << std::endl;
    for (const std::string &failure : failures) {
        CAPTURE(failure);
        CHECK(failure.empty());
    }
    CHECK(ran > 50);
    checkRecovery(callers, start);
}
