#include <Integration/IntegrationFixture.h>
#include <Integration/KeepAliveCaller.h>
#include <LibCore/RandomSource.h>
#include <LibOperator/OperatorClient.h>

#include <future>
#include <iostream>

using namespace Sapphire;

namespace {

constexpr std::uint64_t seed = 97;
constexpr Milliseconds startLimit { 10'000 };
constexpr Milliseconds changeWait { 14'000 };
const std::string customer = "bar-el-grifo";

std::string setRate(std::int64_t rate)
{
    return "set customer " + customer + " rate " + std::to_string(rate) + " burst 10";
}

/// Sends a change as a given operator with a given command id.
Poco::JSON::Object::Ptr commandAs(Deployment &deployment, const std::string &vm, const std::string &operatorId,
                                  const std::string &id, const std::string &text)
{
    const OperatorClient client(
        { { deployment.vm(vm).operatorAddress }, deployment.operatorToken(), operatorId, changeWait });
    const auto answer = capture([&] {
        return client.send(text, id);
    });
    return answer ? parseObject(answer.value()) : Poco::JSON::Object::Ptr();
}

std::uint64_t versionOf(const Poco::JSON::Object::Ptr &answer)
{
    REQUIRE(answer);
    CAPTURE(answer->getValue<std::string>("message"));
    REQUIRE(answer->has("version"));
    return answer->getValue<std::uint64_t>("version");
}

std::string shownRate(Deployment &deployment, const std::string &vm)
{
    const auto rows = command(deployment, vm, "show customers " + customer)->getArray("rows");
    return rows->size() == 0 ? "none" : rows->getArray(0)->getElement<std::string>(1);
}

void restart(Deployment &deployment, const std::string &vm)
{
    deployment.vm(vm).process->kill();
    expect([&] {
        return deployment.startVm(vm);
    });
}

/// Restarts VMs while a caller sends a withdrawn key, and checks that it is never served.
void checkRestarts(bool isOutage, std::uint64_t restartSeed)
{
    const auto deployment = startDeployment();
    const std::string key = deployment->key(customer);
    REQUIRE(outcomeOf(command(*deployment, "cuyo-a-1", "withdraw key " + customer + "-1")) == "in-force");
    RandomSource random(restartSeed);
    for (int round = 0; round < 2; ++round) {
        const DeployedVm &vm = deployment->vms()[random.below(deployment->vms().size())];
        const std::string name = vm.vm.text();
        expect([&] {
            return deployment->platform().setOutage(isOutage ? OutageMode::Refuse : OutageMode::None);
        });
        restart(*deployment, name);
        KeepAliveCaller caller(name, vm.callerAddress, key, "/v1/services/status/lines");
        CAPTURE(name);
        CAPTURE(isOutage);
        CAPTURE(restartSeed);
        CHECK(waitFor(
            [&] {
                const auto seen = caller.seen();
                return !seen.empty() && seen.back().reason == "key-rejected";
            },
            after(startLimit)));
        caller.stop();
        const auto seen = caller.seen();
        int served = 0;
        for (const SeenAnswer &answer : seen) {
            served += answer.isServed() ? 1 : 0;
        }
        std::cout << "restart of " << name << (isOutage ? " in an outage" : "") << " (seed " << restartSeed
                  << "): " << seen.size() << " requests with a withdrawn key, " << served << " served, last "
                  << seen.back().reason << std::endl;
        CHECK(served == 0);
    }
}

} // namespace

TEST_CASE("Of two operators who change a customer concurrently, one succeeds and the other gets a conflict")
{
    // Guards against a change that silently overwrites one that its operator has not seen.
    const auto deployment = startDeployment();
    std::uint64_t seen = versionOf(command(*deployment, "cuyo-a-1", setRate(20)));
    int anaWon = 0;
    constexpr int rounds = 2;
    for (int round = 0; round < rounds; ++round) {
        const std::string condition = " if-unchanged-since " + std::to_string(seen);
        const std::string number = std::to_string(round);
        auto ana = std::async(std::launch::async, [&] {
            return commandAs(*deployment, "cuyo-a-1", "ana", "ana-" + number, setRate(100 + round) + condition);
        });
        auto luis = std::async(std::launch::async, [&] {
            return commandAs(*deployment, "norte-a-1", "luis", "luis-" + number, setRate(200 + round) + condition);
        });
        const auto ofAna = ana.get();
        const auto ofLuis = luis.get();
        REQUIRE(ofAna);
        REQUIRE(ofLuis);
        const bool hasAnaWon = outcomeOf(ofAna) == "in-force";
        const auto &winner = hasAnaWon ? ofAna : ofLuis;
        const auto &loser = hasAnaWon ? ofLuis : ofAna;
        anaWon += hasAnaWon ? 1 : 0;
        CHECK(outcomeOf(winner) == "in-force");
        CHECK(outcomeOf(loser) == "conflict");
        seen = versionOf(winner);
        const std::string expected =
            std::string("changed by ") + (hasAnaWon ? "ana" : "luis") + " in version " + std::to_string(seen);
        const auto message = loser->getValue<std::string>("message");
        CAPTURE(message);
        CHECK(message.find(expected) != std::string::npos);
        CHECK(shownRate(*deployment, "pampa-a-1") == std::to_string((hasAnaWon ? 100 : 200) + round));
    }
    std::cout << "operators at once: ana won " << anaWon << " of " << rounds << " rounds" << std::endl;
}

TEST_CASE("A command sent through several VMs takes effect once")
{
    // Guards against a command that is resent after a lost answer and overwrites later changes.
    const auto deployment = startDeployment();
    std::uint64_t last = versionOf(command(*deployment, "cuyo-a-1", setRate(20)));
    for (int round = 0; round < 1; ++round) {
        const std::string id = "same-" + std::to_string(round);
        const std::string text = setRate(30 + round);
        auto first = std::async(std::launch::async, [&] {
            return commandAs(*deployment, "pampa-a-1", "ana", id, text);
        });
        auto second = std::async(std::launch::async, [&] {
            return commandAs(*deployment, "norte-a-1", "ana", id, text);
        });
        CHECK(versionOf(first.get()) == last + 1);
        CHECK(versionOf(second.get()) == last + 1);
        const std::uint64_t other = versionOf(command(*deployment, "cuyo-a-1", setRate(300 + round)));
        CHECK(other == last + 2);
        CHECK(versionOf(commandAs(*deployment, "cuyo-b-1", "ana", id, text)) == last + 1);
        CHECK(shownRate(*deployment, "cuyo-b-1") == std::to_string(300 + round));
        last = other;
    }
}

TEST_CASE("A change whose answer the store loses takes effect once")
{
    // Guards against a written change that is reported as failed, or written again.
    const auto deployment = startDeployment();
    std::uint64_t last = versionOf(command(*deployment, "cuyo-a-1", setRate(20)));
    RandomSource random(seed);
    constexpr int rounds = 2;
    int uncertain = 0;
    for (int round = 0; round < rounds; ++round) {
        const std::string vm = deployment->vms()[random.below(deployment->vms().size())].vm.text();
        expect([&] {
            return deployment->platform().loseAnswers(1 + static_cast<int>(random.below(3)));
        });
        const std::string id = "lost-" + std::to_string(round);
        auto answer = commandAs(*deployment, vm, "ana", id, setRate(40 + round));
        CAPTURE(seed);
        CAPTURE(round);
        REQUIRE(answer);
        if (outcomeOf(answer) == "may-have-run") {
            ++uncertain;
            answer = commandAs(*deployment, vm, "ana", id, setRate(40 + round));
        }
        CHECK(outcomeOf(answer) == "in-force");
        CHECK(versionOf(answer) == last + 1);
        CHECK(shownRate(*deployment, "pampa-a-1") == std::to_string(40 + round));
        ++last;
    }
    std::cout << "lost answers (seed " << seed << "): " << uncertain << " of " << rounds
              << " changes had to be sent again" << std::endl;
}

TEST_CASE("A VM that starts during an outage of the store gets the newest configuration from others")
{
    // Guards against VMs that cannot be replaced during an outage, or that serve an old snapshot.
    DeploymentOptions options;
    options.absentVms = { "norte-a-1" };
    const auto deployment = startDeployment(options);
    REQUIRE(outcomeOf(command(*deployment, "cuyo-a-1", setRate(77))) == "in-force");
    expect([&] {
        return deployment->platform().setOutage(OutageMode::Refuse);
    });
    const BootClock clock;
    const TimePoint start = clock.now();
    expect([&]() -> Result<void> {
        BOOST_LEAF_CHECK(deployment->startVm("norte-a-1"));
        return deployment->waitUntilServing("norte-a-1", after(startLimit));
    });
    std::cout << "started in an outage, serves after "
              << std::chrono::duration_cast<Milliseconds>(clock.now() - start).count() << " ms" << std::endl;
    CHECK(shownRate(*deployment, "norte-a-1") == "77");
    const auto answer = request(*deployment, "norte-a-1", customer, "GET", "/v1/services/status/lines");
    CHECK(reasonOf(answer) != "not-fresh");
    CHECK(reasonOf(answer) != "key-rejected");
}

TEST_CASE("A VM that restarts never serves from an older version")
{
    // Guards against a new process that serves from a snapshot before it has read the changes after it.
    checkRestarts(false, seed + 1);
}

TEST_CASE("A VM that restarts during an outage of the store never serves from an older version")
{
    // Guards against a new process that takes an old version from the first peer that answers.
    checkRestarts(true, seed + 2);
}
