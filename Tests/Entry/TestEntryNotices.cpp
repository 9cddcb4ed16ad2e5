#include <Entry/EntryCallers.h>

using namespace Sapphire;

namespace {

/// Sends reads to VMs, each with an id of its own.
class Reader
{
public:
    explicit Reader(EntryDeployment &deployment) : m_deployment(deployment)
    {
    }

    int statusAt(const EntryVm &vm)
    {
        const std::string id = "r" + std::to_string(++m_requests);
        return EntryCallers::send(m_deployment.callerAddress(vm), "GET", "/read/1", id, "key-1", Milliseconds(1'000))
            .status;
    }

private:
    EntryDeployment &m_deployment;
    int m_requests { 0 };
};

} // namespace

TEST_CASE("Each VM keeps to the pause that a target has asked it for, also if it is frozen until after its end")
{
    // Guards against requests in a pause, against a VM that goes on as if its pause had begun when it was resumed, and
    // against a pause that holds for VMs which the target hasn't asked.
    EntryDeployment deployment(1, 1);
    EntryRules rules;
    rules.version = 2;
    rules.allowedRegion = "cuyo";
    deployment.applyRules(rules);
    std::this_thread::sleep_for(Milliseconds(2'500));
    WireTarget &target = *deployment.targetList().front();
    REQUIRE(target.id().starts_with("i-cuyo"));
    EntryVm &frozen = deployment.vms().front();
    const EntryVm &other = deployment.vms().back();
    Reader reader(deployment);

    WireTargetBehaviour paused;
    paused.pause = Milliseconds(1'500);
    target.setBehaviour(paused);
    CHECK(reader.statusAt(frozen) == 503);
    target.setBehaviour({});
    frozen.process->stop();
    CHECK(reader.statusAt(other) == 200);
    target.setBehaviour(paused);
    const TimePoint begin = BootClock().now();
    CHECK(reader.statusAt(other) == 503);
    target.setBehaviour({});
    const std::size_t served = target.runs().size();
    while (BootClock().now() < begin + Milliseconds(1'400)) {
        CHECK(reader.statusAt(other) == 503);
        std::this_thread::sleep_for(Milliseconds(50));
    }
    CHECK(target.runs().size() == served);
    CHECK(target.pauses().size() == 2);
    std::this_thread::sleep_for(Milliseconds(300));
    frozen.process->resume();
    CHECK(reader.statusAt(other) == 200);
    CHECK(waitFor(
        [&] {
            return reader.statusAt(frozen) == 200;
        },
        after(Milliseconds(1'000))));
}

TEST_CASE("A target that says that it is leaving gets nothing new while the store is silent, nor when it is back")
{
    // Guards against requests to a target after its end, when the list goes on showing it as ready.
    EntryDeployment deployment(2, 2);
    EntryCallers callers(deployment, {});
    std::this_thread::sleep_for(Milliseconds(1'000));
    StoreFaults silent;
    silent.isSilent = true;
    deployment.store().setFaults(silent);
    WireTarget &target = *deployment.targetList().front();
    WireTargetBehaviour leaving;
    leaving.isLeaving = true;
    target.setBehaviour(leaving);
    const TimePoint leavingAt = BootClock().now();
    std::this_thread::sleep_for(Milliseconds(2'000));
    deployment.store().setFaults({});
    deployment.announce(target, "ready");
    std::this_thread::sleep_for(Milliseconds(2'000));
    int served = 0;
    for (const CallerRecord &record : callers.stop()) {
        served += record.status == 200 ? 1 : 0;
    }
    CHECK(served > 100);
    int late = 0;
    for (const WireTargetRun &run : target.runs()) {
        late += run.at > leavingAt + Milliseconds(1'000) ? 1 : 0;
    }
    CHECK(late == 0);
    CHECK(!target.runs().empty());
}
