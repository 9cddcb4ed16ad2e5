#include <Integration/IntegrationFixture.h>
#include <Integration/KeepAliveCaller.h>
#include <Integration/TargetLedger.h>
#include <LibCore/RandomSource.h>

#include <filesystem>
#include <future>
#include <iostream>
#include <map>

using namespace Sapphire;

namespace {

constexpr std::uint64_t seed = 57;
constexpr Milliseconds withdrawalLimit { 5'000 };
// The freshness limit of 4 s, and 1 s for a request in progress.
constexpr Milliseconds staleLimit { 5'000 };
constexpr Milliseconds timeAfterLimit { 1'000 };
constexpr Milliseconds recoveryLimit { 10'000 };
const std::string customer = "bodega-andina";
const std::string otherCustomer = "bar-el-grifo";
const std::string keyId = customer + "-1";
const std::string statusPath = "/v1/services/status/lines";
const std::vector<std::string> customers { customer, otherCustomer };

using Callers = std::vector<std::unique_ptr<KeepAliveCaller>>;

std::unique_ptr<Deployment> deploymentForKeys()
{
    auto deployment = startDeployment();
    const std::string limits = " rate 2000 burst 500";
    // The second change is in force only once the first one is.
    command(*deployment, "cuyo-a-1", "set customer " + otherCustomer + limits, Milliseconds(1));
    REQUIRE(outcomeOf(command(*deployment, "cuyo-a-1", "set customer " + customer + limits)) == "in-force");
    return deployment;
}

Outcome<HttpAnswer> requestWith(Deployment &deployment, const std::string &vm, HttpHeaders headers,
                                const std::string &path)
{
    headers.emplace_back("Request-Timeout-Ms", "3000");
    return capture([&] {
        return HttpCall { "GET", "http://" + deployment.vm(vm).callerAddress + path, headers, "" }.run();
    });
}

Outcome<HttpAnswer> requestWithKey(Deployment &deployment, const std::string &vm, const std::string &key)
{
    return requestWith(deployment, vm, { { "Authorization", "Bearer " + key } }, statusPath);
}

/// Returns one caller for each VM, after all of them have been served.
Callers callersAtEachVm(Deployment &deployment)
{
    Callers callers;
    for (const DeployedVm &vm : deployment.vms()) {
        callers.push_back(
            std::make_unique<KeepAliveCaller>(vm.vm.text(), vm.callerAddress, deployment.key(customer), statusPath));
    }
    for (const auto &caller : callers) {
        CAPTURE(caller->vm());
        REQUIRE(waitFor(
            [&] {
                const auto seen = caller->seen();
                return !seen.empty() && seen.back().isServed();
            },
            after(recoveryLimit)));
    }
    return callers;
}

void waitUntil(TimePoint time)
{
    const BootClock clock;
    REQUIRE(waitFor(
        [&] {
            return clock.now() >= time;
        },
        Deadline(time + timeAfterLimit)));
}

std::int64_t millisecondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration_cast<Milliseconds>(to - from).count();
}

/// Checks that no request sent after the limit was served, and that the last one was refused for the reason.
void checkStopped(const KeepAliveCaller &caller, TimePoint start, Milliseconds limit, const std::string &reason)
{
    CAPTURE(caller.vm());
    const auto seen = caller.seen();
    REQUIRE(!seen.empty());
    TimePoint lastServed = start;
    for (const SeenAnswer &answer : seen) {
        lastServed = answer.isServed() ? answer.sentAt : lastServed;
    }
    std::cout << "  " << caller.vm() << ": last served request sent after " << millisecondsBetween(start, lastServed)
              << " ms, then " << seen.back().reason << std::endl;
    CHECK(lastServed - start <= limit);
    CHECK(seen.back().reason == reason);
    CHECK(seen.back().sentAt - start > limit);
}

/// Checks that the connection on which the caller was last served is the one on which it was refused.
void checkSameConnection(const KeepAliveCaller &caller)
{
    CAPTURE(caller.vm());
    const auto seen = caller.seen();
    const auto refused = std::find_if(seen.begin(), seen.end(), [](const SeenAnswer &answer) {
        return answer.reason == "key-rejected";
    });
    REQUIRE(refused != seen.end());
    REQUIRE(refused != seen.begin());
    CHECK(std::prev(refused)->localPort == refused->localPort);
}

/// Guards against secrets in logs, traces, metrics and messages to targets.
void checkNoSecretLeaked(Deployment &deployment)
{
    std::map<std::string, std::string> texts;
    for (const auto &file : std::filesystem::directory_iterator(deployment.folder().path())) {
        texts[file.path().filename().string()] = readFile(file.path());
    }
    // The settings of the target stand-in contain the secrets, so that it can search requests for them.
    const std::string known = texts["targets.json"];
    texts.erase("targets.json");
    for (const DeployedVm &vm : deployment.vms()) {
        if (vm.process->isRunning()) {
            const auto metrics = expect([&] {
                return HttpCall { "GET",
                                  "http://" + vm.operatorAddress + "/metrics",
                                  { { "Authorization", "Bearer " + deployment.operatorToken() } },
                                  "" }
                    .run();
            });
            CHECK(metrics.status == 200);
            texts["metrics of " + vm.vm.text()] = metrics.body;
        }
    }
    std::size_t bytes = 0;
    for (const std::string &name : customers) {
        const std::string secret = deployment.key(name).substr(name.size() + 3);
        REQUIRE(known.find(secret) != std::string::npos);
        for (const auto &entry : texts) {
            CAPTURE(entry.first);
            bytes += entry.second.size();
            CHECK(entry.second.find(secret) == std::string::npos);
        }
    }
    const auto findings = parseObject(expect([&] {
        return deployment.targetControl("/control/findings");
    }));
    CHECK(findings->getArray("findings")->size() == 0);
    std::cout << "  no secret in " << texts.size() << " files and metrics, " << bytes / customers.size() << " bytes"
              << std::endl;
}

struct Withdrawal
{
    TimePoint sentAt;
    Poco::JSON::Object::Ptr answer;
};

Withdrawal withdraw(Deployment &deployment, const std::string &vm, Milliseconds wait = Milliseconds(14'000))
{
    const TimePoint sentAt = BootClock().now();
    auto answer = command(deployment, vm, "withdraw key " + keyId, wait);
    std::cout << "  answered after " << millisecondsBetween(sentAt, BootClock().now()) << " ms: " << outcomeOf(answer)
              << std::endl;
    return { sentAt, std::move(answer) };
}

/// Waits until the withdrawal is in the configuration log of the store, and checks that a VM that starts while no other
/// VM runs, and so has only the store to read from, applies it.
void checkDurable(Deployment &deployment, const std::string &vm)
{
    const BootClock clock;
    const TimePoint start = clock.now();
    const bool isDurable = waitFor(
        [&] {
            const auto shown = command(deployment, vm, "show keys " + keyId);
            return shown->getArray("rows")->getArray(0)->getElement<std::string>(2) == "yes";
        },
        after(recoveryLimit));
    CHECK(isDurable);
    std::cout << "  in the configuration log " << millisecondsBetween(start, clock.now()) << " ms after the outage"
              << std::endl;
    for (DeployedVm &other : deployment.vms()) {
        other.process->kill();
    }
    const std::string restarted = "norte-a-1";
    expect([&]() -> Result<void> {
        BOOST_LEAF_CHECK(deployment.startVm(restarted));
        return deployment.waitUntilServing(restarted, after(recoveryLimit));
    });
    CHECK(reasonOf(requestWithKey(deployment, restarted, deployment.key(customer))) == "key-rejected");
    CHECK(reasonOf(requestWithKey(deployment, restarted, deployment.key(otherCustomer))) != "key-rejected");
}

void checkWithdrawalInOutage(OutageMode mode)
{
    const auto deployment = deploymentForKeys();
    const Callers callers = callersAtEachVm(*deployment);
    expect([&] {
        return deployment->platform().setOutage(mode);
    });
    std::cout << "withdrawal in an outage, store " << nameOf(mode) << ":" << std::endl;
    constexpr Milliseconds wait { 3'000 };
    const Withdrawal withdrawal = withdraw(*deployment, "pampa-a-1", wait);
    CHECK(outcomeOf(withdrawal.answer) == "accepted-not-durable");
    waitUntil(withdrawal.sentAt + withdrawalLimit + timeAfterLimit);
    for (const auto &caller : callers) {
        caller->stop();
        checkStopped(*caller, withdrawal.sentAt, withdrawalLimit, "key-rejected");
    }
    expect([&] {
        return deployment->platform().setOutage(OutageMode::None);
    });
    checkDurable(*deployment, "cuyo-a-1");
    checkNoSecretLeaked(*deployment);
}

} // namespace

TEST_CASE("A request runs only for the customer whose key came with it")
{
    // Guards against a customer taken from the caller's own headers or from an earlier request on a connection, and
    // against accepting wrong secrets.
    const auto deployment = deploymentForKeys();
    RandomSource random(seed);
    std::map<std::string, std::string> expected; // Customer by path.
    std::map<std::string, std::string> wrongKeys;
    const std::string secret = deployment->key(customer).substr(keyId.size() + 1);
    const std::string otherSecret = deployment->key(otherCustomer).substr(otherCustomer.size() + 3);
    const std::vector<std::string> wrong {
        keyId + "." + otherSecret,
        keyId + ".",
        keyId,
        secret,
        "." + secret,
        "unknown-1." + secret,
        keyId + "." + secret + "0",
        keyId + "." + secret.substr(1),
        "",
    };
    int refused = 0;
    for (int number = 0; number < 200; ++number) {
        const std::string vm = deployment->vms()[random.below(deployment->vms().size())].vm.text();
        const std::string path = "/lines-" + std::to_string(number);
        const std::string &name = customers[random.below(customers.size())];
        const std::string &forged = customers[random.below(customers.size())];
        const bool isWrong = random.below(3) == 0;
        const std::string key = isWrong ? wrong[random.below(wrong.size())] : deployment->key(name);
        const auto answer =
            requestWith(*deployment, vm, { { "Authorization", "Bearer " + key }, { "Sapphire-Customer", forged } },
                        "/v1/services/status" + path);
        CAPTURE(seed);
        CAPTURE(number);
        CAPTURE(vm);
        REQUIRE(answer);
        if (isWrong) {
            ++refused;
            CHECK(reasonOf(answer) == "key-rejected");
            CHECK(verdictOf(answer) == "not-run");
        } else {
            CHECK(answer.value().status == 200);
            expected[path] = name;
        }
    }
    const auto ledger = readLedger(*deployment);
    CHECK(ledger.size() == expected.size());
    for (const LedgerEntry &entry : ledger) {
        CAPTURE(entry.path);
        REQUIRE(expected.contains(entry.path));
        CHECK(entry.customer == expected[entry.path]);
    }
    std::cout << "keys (seed " << seed << "): " << ledger.size() << " requests ran for their customers, " << refused
              << " with wrong keys refused" << std::endl;
    checkNoSecretLeaked(*deployment);
}

TEST_CASE("A withdrawn key stops working on every VM and on open connections")
{
    // Guards against a key that is checked once per connection, and against VMs that learn of a withdrawal too late.
    const auto deployment = deploymentForKeys();
    const Callers callers = callersAtEachVm(*deployment);
    std::cout << "withdrawal:" << std::endl;
    const Withdrawal withdrawal = withdraw(*deployment, "norte-a-1");
    CHECK(outcomeOf(withdrawal.answer) == "in-force");
    waitUntil(withdrawal.sentAt + withdrawalLimit + timeAfterLimit);
    for (const auto &caller : callers) {
        caller->stop();
        checkStopped(*caller, withdrawal.sentAt, withdrawalLimit, "key-rejected");
        checkSameConnection(*caller);
    }
    checkNoSecretLeaked(*deployment);
}

TEST_CASE("A key withdrawn during an outage of the store stops working and stays withdrawn")
{
    // Guards against withdrawals that wait for the store, and that are forgotten when it returns.
    checkWithdrawalInOutage(OutageMode::Refuse);
}

TEST_CASE("A key withdrawn while the store is silent stops working and stays withdrawn")
{
    // Guards against withdrawals that are broadcast only after the store's client has timed out.
    checkWithdrawalInOutage(OutageMode::Silent);
}

TEST_CASE("A withdrawal outlives the VM that accepted it during an outage")
{
    // Guards against an answer "accepted" before other VMs know of the withdrawal.
    const auto deployment = deploymentForKeys();
    Callers callers = callersAtEachVm(*deployment);
    expect([&] {
        return deployment->platform().setOutage(OutageMode::Refuse);
    });
    std::cout << "withdrawal in an outage, its VM killed:" << std::endl;
    const Withdrawal withdrawal = withdraw(*deployment, "norte-a-1");
    deployment->vm("norte-a-1").process->kill();
    CHECK(outcomeOf(withdrawal.answer) == "accepted-not-durable");
    waitUntil(withdrawal.sentAt + withdrawalLimit + timeAfterLimit);
    for (const auto &caller : callers) {
        caller->stop();
        if (caller->vm() != "norte-a-1") {
            checkStopped(*caller, withdrawal.sentAt, withdrawalLimit, "key-rejected");
        }
    }
    expect([&] {
        return deployment->platform().setOutage(OutageMode::None);
    });
    checkDurable(*deployment, "cuyo-b-1");
}

TEST_CASE("A region without contact to a majority of the regions refuses keyed requests")
{
    // Guards against a region that still accepts a key that was withdrawn on the other side of a partition.
    const auto deployment = deploymentForKeys();
    const Callers callers = callersAtEachVm(*deployment);
    const TimePoint cutAt = BootClock().now();
    expect([&] {
        return deployment->cutRegion("norte");
    });
    std::cout << "norte cut off:" << std::endl;
    waitUntil(cutAt + staleLimit + timeAfterLimit);
    checkStopped(*callers.back(), cutAt, staleLimit, "not-fresh");
    int served = 0;
    for (const auto &caller : callers) {
        const bool isCut = caller->vm() == "norte-a-1";
        for (const SeenAnswer &answer : caller->seenSince(cutAt)) {
            CAPTURE(caller->vm());
            CAPTURE(answer.reason);
            CHECK((isCut || answer.isServedWithinRate()));
            served += !isCut && answer.isServed() ? 1 : 0;
        }
    }
    std::cout << "  the other regions served " << served << std::endl;
    CHECK(served > 100);
    const Withdrawal withdrawal = withdraw(*deployment, "pampa-a-1");
    waitUntil(withdrawal.sentAt + withdrawalLimit + timeAfterLimit);
    expect([&] {
        return deployment->healNetwork();
    });
    const TimePoint healedAt = BootClock().now();
    CHECK(waitFor(
        [&] {
            return callers.back()->seen().back().reason == "key-rejected";
        },
        after(recoveryLimit)));
    std::cout << "  applies the withdrawal " << millisecondsBetween(healedAt, BootClock().now())
              << " ms after the end of the cut" << std::endl;
    for (const auto &caller : callers) {
        caller->stop();
        checkStopped(*caller, withdrawal.sentAt, withdrawalLimit, "key-rejected");
    }
}

TEST_CASE("The other regions keep serving when the store's region is cut off")
{
    // Guards against a dependency on the store, and against a change that is reported as in force while two regions
    // that cannot know of it still serve requests.
    const auto deployment = deploymentForKeys();
    const Callers callers = callersAtEachVm(*deployment);
    const TimePoint cutAt = BootClock().now();
    expect([&] {
        return deployment->cutRegion("cuyo");
    });
    std::cout << "cuyo cut off, which has the store:" << std::endl;
    constexpr Milliseconds wait { 7'000 };
    const auto answer =
        command(*deployment, "cuyo-a-1", "set customer " + otherCustomer + " rate 1900 burst 400", wait);
    CHECK(outcomeOf(answer) == "recorded");
    CHECK(answer->getArray("unconfirmed")->size() == 2);
    waitUntil(cutAt + staleLimit + timeAfterLimit);
    for (const auto &caller : callers) {
        const auto seen = caller->seenSince(cutAt);
        std::map<std::string, int> reasons;
        for (const SeenAnswer &answerSeen : seen) {
            ++reasons[answerSeen.isServed() ? "served" : answerSeen.reason];
        }
        for (const auto &[reason, count] : reasons) {
            std::cout << "  " << caller->vm() << ": " << count << " " << reason << std::endl;
        }
        if (caller->vm().starts_with("pampa") || caller->vm().starts_with("norte")) {
            const int served = reasons["served"];
            CHECK(served > 50);
            CHECK(served + reasons["rate-exceeded"] == static_cast<int>(seen.size()));
        }
    }
    expect([&] {
        return deployment->healNetwork();
    });
    const auto version = answer->getValue<std::string>("version");
    CHECK(waitFor(
        [&] {
            return command(*deployment, "cuyo-a-1", "explain change " + version)
                ->getValue<std::string>("message")
                .starts_with("in force");
        },
        after(recoveryLimit)));
}
