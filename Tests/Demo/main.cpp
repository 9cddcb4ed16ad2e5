#include <Deployment/Deployment.h>
#include <Harness/WaitFor.h>
#include <LibCore/BootClock.h>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <iomanip>
#include <iostream>
#include <sstream>

DEFINE_string(plan, "Settings/quick.json", "deployment to run");
DEFINE_bool(delays, true, "delay the network between zones and regions as planned");
DEFINE_bool(keep, false, "keep the folder with settings, logs and traces");
DEFINE_bool(serve, false, "print the addresses and wait for SIGTERM or SIGINT instead of running the demonstration");

using namespace Sapphire;

namespace {

/// Runs a technician's reads, a booking and an operator's changes, and prints the latency and result of each.
class Demo
{
public:
    explicit Demo(Deployment &deployment)
        : m_deployment(deployment)
        , m_plan(deployment.plan())
        , m_status(m_plan.services[0].name)
        , m_booking(m_plan.services[1].name)
    {
    }

    Result<void> run()
    {
        BOOST_LEAF_CHECK(lookUp());
        BOOST_LEAF_CHECK(readStatus("a technician reads a live status"));
        BOOST_LEAF_CHECK(book());
        BOOST_LEAF_CHECK(changeRate());
        BOOST_LEAF_CHECK(drainTarget());
        BOOST_LEAF_CHECK(useAnotherRegion());
        BOOST_LEAF_CHECK(withdrawKey());
        return stopVm();
    }

private:
    static void print(const std::string &what, const std::string &detail, Microseconds latency)
    {
        std::cout << std::left << std::setw(46) << what << std::right << std::setw(9) << std::fixed
                  << std::setprecision(2) << static_cast<double>(latency.count()) / 1000.0 << " ms  " << detail
                  << std::endl;
    }

    HttpHeaders headers() const
    {
        return { { "Authorization", "Bearer " + m_deployment.key(m_plan.customers[0].name) } };
    }

    Result<std::pair<HttpAnswer, Microseconds>> call(const std::string &method, const std::string &path,
                                                     HttpHeaders extra = {}) const
    {
        HttpHeaders all = headers();
        all.insert(all.end(), extra.begin(), extra.end());
        const TimePoint start = m_clock.now();
        BOOST_LEAF_AUTO(answer, (HttpCall { method, "http://" + m_entry + path, all, "" }.run()));
        return std::pair { answer, m_clock.now() - start };
    }

    static std::string outcomeOf(const HttpAnswer &answer)
    {
        const std::optional<std::string> servedBy = answer.header("Sapphire-Served-By");
        const std::optional<std::string> reason = answer.header("Sapphire-Reason");
        std::ostringstream text;
        text << answer.status << ' ' << answer.header("Sapphire-Verdict").value_or("-");
        if (servedBy) {
            text << ", ran at " << *servedBy;
        }
        if (reason) {
            text << ", " << *reason;
        }
        return text.str();
    }

    Result<void> lookUp()
    {
        m_entry = m_deployment.vms().front().callerAddress;
        BOOST_LEAF_AUTO(answered, call("GET", "/v1/lookup"));
        Poco::JSON::Parser parser;
        const auto object = parser.parse(answered.first.body).extract<Poco::JSON::Object::Ptr>();
        const Poco::JSON::Object::Ptr first = object->getArray("vms")->getObject(0);
        m_entry = first->getValue<std::string>("address");
        m_prefix = object->getValue<std::string>("requestIdPrefix");
        print("a look-up names the VMs to use",
              "first " + first->getValue<std::string>("vm") + " at " + m_entry + " in "
                  + first->getValue<std::string>("region") + "/" + first->getValue<std::string>("availabilityZone"),
              answered.second);
        return {};
    }

    Result<void> readStatus(const std::string &what)
    {
        BOOST_LEAF_AUTO(answered, call("GET", "/v1/services/" + m_status + "/lines/7"));
        print(what, outcomeOf(answered.first), answered.second);
        return {};
    }

    Result<void> book()
    {
        const HttpHeaders id { { "Idempotency-Key", m_prefix + "cleaning-42" }, { "Content-Length", "0" } };
        BOOST_LEAF_AUTO(first, call("POST", "/v1/services/" + m_booking + "/bookings", id));
        print("a booking is made", outcomeOf(first.first), first.second);
        BOOST_LEAF_AUTO(again, call("POST", "/v1/services/" + m_booking + "/bookings", id));
        print("the same booking sent again", outcomeOf(again.first) + " (stored answer)", again.second);
        BOOST_LEAF_AUTO(state, call("GET", "/v1/requests/" + m_prefix + "cleaning-42"));
        print("the state of the booking", state.first.body, state.second);
        return {};
    }

    Result<void> change(const std::string &what, const std::string &commandText)
    {
        const TimePoint start = m_clock.now();
        BOOST_LEAF_AUTO(answer, m_deployment.command(m_deployment.vms().back().vm.text(), commandText));
        Poco::JSON::Parser parser;
        const auto object = parser.parse(answer).extract<Poco::JSON::Object::Ptr>();
        print(what, object->getValue<std::string>("outcome") + ": " + object->getValue<std::string>("message"),
              m_clock.now() - start);
        return {};
    }

    Result<void> changeRate()
    {
        const PlannedCustomer &customer = m_plan.customers.front();
        std::ostringstream commandText;
        commandText << "set customer " << customer.name << " rate " << customer.ratePerSecond * 2 << " burst "
                    << customer.burst * 2;
        return change("an operator doubles a customer's rate", commandText.str());
    }

    Result<void> drainTarget()
    {
        BOOST_LEAF_CHECK(change("an operator drains a target", "drain target " + firstTarget()));
        return readStatus("the status comes from another target");
    }

    std::string firstTarget() const
    {
        return m_deployment.targets().front().target.text();
    }

    Result<void> useAnotherRegion()
    {
        const std::string region = m_plan.regions.front().name;
        for (const DeployedTarget &target : m_deployment.targets()) {
            if (target.locality.region.text() == region && target.service.text() == m_status) {
                BOOST_LEAF_CHECK(
                    m_deployment.command(m_deployment.vms().back().vm.text(), "drain target " + target.target.text()));
            }
        }
        std::cout << "every target of " << m_status << " in " << region
                  << " is drained; its traffic shifts by at most 20% in 5 s" << std::endl;
        const TimePoint start = m_clock.now();
        std::pair<HttpAnswer, Microseconds> last;
        const bool hasMoved = waitFor(
            [&] {
                const auto answered = capture([&] {
                    return call("GET", "/v1/services/" + m_status + "/lines/7");
                });
                if (answered) {
                    last = answered.value();
                }
                return answered && last.first.status == 200;
            },
            after(Milliseconds(30'000)));
        print("the status comes from another region", outcomeOf(last.first), last.second);
        print(hasMoved ? "  first answer after the drain" : "  no answer within 30 s", "", m_clock.now() - start);
        return {};
    }

    Result<void> withdrawKey()
    {
        const std::string customer = m_plan.customers.back().name;
        const HttpHeaders key { { "Authorization", "Bearer " + m_deployment.key(customer) } };
        const std::string url = "http://" + m_entry + "/v1/services/" + m_booking + "/history";
        BOOST_LEAF_AUTO(before, (HttpCall { "GET", url, key, "" }.run()));
        std::cout << "a request with the key of " << customer << ": " << outcomeOf(before) << std::endl;
        BOOST_LEAF_CHECK(change("an operator withdraws the key", "withdraw key " + customer + "-1"));
        const TimePoint start = m_clock.now();
        BOOST_LEAF_AUTO(refused, (HttpCall { "GET", url, key, "" }.run()));
        print("a request with the withdrawn key", outcomeOf(refused), m_clock.now() - start);
        return {};
    }

    Result<void> stopVm()
    {
        DeployedVm &leaving = m_deployment.vms().front();
        const TimePoint start = m_clock.now();
        leaving.process->terminate();
        const std::optional<ExitStatus> status = leaving.process->wait(after(Milliseconds(30'000)));
        print("a planned stop of " + leaving.vm.text(),
              status ? "exit code " + std::to_string(status->code) : "still running", m_clock.now() - start);
        return {};
    }

    Deployment &m_deployment;
    const DeploymentPlan &m_plan;
    std::string m_status;
    std::string m_booking;
    std::string m_entry;
    std::string m_prefix;
    BootClock m_clock;
};

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

/// Prints what a caller and an operator need and keeps the deployment up until a stop signal.
Result<void> serve(Deployment &deployment)
{
    BOOST_LEAF_AUTO(tokenFile, deployment.folder().write("operator-token", deployment.operatorToken() + "\n"));
    std::ostringstream keys;
    for (const PlannedCustomer &customer : deployment.plan().customers) {
        keys << customer.name << ' ' << deployment.key(customer.name) << '\n';
    }
    BOOST_LEAF_AUTO(keyFile, deployment.folder().write("customer-keys", keys.str()));
    for (const DeployedVm &vm : deployment.vms()) {
        std::cout << vm.vm.text() << " caller " << vm.callerAddress << " operator " << vm.operatorAddress
                  << " token-file " << tokenFile.string() << '\n';
    }
    std::cout << "platform stand-in " << deployment.platform().address() << "; keys of customers in "
              << keyFile.string() << "; ends at SIGTERM or SIGINT" << std::endl;
    const sigset_t signals = stopSignals();
    int signal = 0;
    sigwait(&signals, &signal);
    return {};
}

Result<void> runDemo()
{
    BOOST_LEAF_AUTO(plan, DeploymentPlan::load(FLAGS_plan));
    DeploymentOptions options;
    options.hasNetworkDelays = FLAGS_delays;
    options.keepsFolder = FLAGS_keep;
    const TimePoint start = BootClock().now();
    BOOST_LEAF_AUTO(deployment, Deployment::create(plan, options));
    std::cout << plan.name << ": " << deployment->vms().size() << " VMs, " << deployment->targets().size()
              << " targets, started and configured in "
              << std::chrono::duration_cast<Milliseconds>(BootClock().now() - start).count() << " ms; files in "
              << (FLAGS_keep ? deployment->folder().path().string()
                             : "a folder that is removed at the end (--keep keeps it)")
              << std::endl;
    if (FLAGS_serve) {
        return serve(*deployment);
    }
    return Demo(*deployment).run();
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(
        "runs a deployment of sapphiredeck on stand-ins and demonstrates requests and operator commands");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_serve) {
        // Before any thread starts, so that only sigwait() takes the signals, also while the deployment starts.
        const sigset_t signals = stopSignals();
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    }
    const Outcome<void> outcome = capture(runDemo);
    if (!outcome) {
        std::cerr << "sapphire-demo: " << outcome.error().message << '\n';
        return 1;
    }
    return 0;
}
