#include <Deployment/Deployment.h>

#include <Harness/ControlCall.h>
#include <Harness/WaitFor.h>
#include <LibCore/Hash.h>
#include <LibCore/RandomSource.h>
#include <LibOperator/OperatorClient.h>

#include <algorithm>
#include <sstream>

namespace Sapphire {

namespace {

constexpr int platformHost = 1;
constexpr int proxyHost = 2;
constexpr int targetHost = 3;
constexpr int firstVmHost = 10;
constexpr int platformPort = 7500;
constexpr int proxyControlPort = 7501;
constexpr int targetControlPort = 7502;
constexpr int firstLinkPort = 8000;
constexpr int firstTargetPort = 8000;
constexpr int callerPort = 7401;
constexpr int fleetPort = 7402;
constexpr int operatorPort = 7403;
constexpr Milliseconds startTimeout { 20'000 };
constexpr Milliseconds shortWait { 1 };
constexpr std::int64_t bytesPerMegabit = 125'000;

std::string endpoint(const std::string &address, int port)
{
    return address + ":" + std::to_string(port);
}

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

std::string joined(const std::vector<std::string> &texts)
{
    std::string result;
    for (const std::string &text : texts) {
        result += result.empty() ? text : "," + text;
    }
    return result;
}

} // namespace

std::string fleetLink(const std::string &fromZone, const std::string &toZone, const std::string &vm)
{
    return "fleet:" + fromZone + ">" + toZone + ":" + vm;
}

Deployment::Deployment(DeploymentPlan plan, DeploymentOptions options)
    : m_plan(std::move(plan)), m_options(std::move(options))
{
    RandomSource random = RandomSource::seededBySystem();
    constexpr std::size_t secretDigits = 24;
    m_operatorToken = random.hexDigits(secretDigits);
    for (const PlannedCustomer &customer : m_plan.customers) {
        m_secrets[customer.name] = random.hexDigits(secretDigits);
    }
    planVms();
    planTargets();
    int port = firstLinkPort;
    for (const LinkSettings &link : links()) {
        m_links[link.name] = endpoint(m_subnet.address(proxyHost), port++);
    }
    for (DeployedTarget &target : m_targets) {
        target.address = linkAddress("target:" + target.target.text());
    }
}

Deployment::~Deployment() = default;

void Deployment::planVms()
{
    int host = firstVmHost;
    for (const PlannedRegion &region : m_plan.regions) {
        for (const PlannedZone &zone : region.zones) {
            for (int i = 1; i <= zone.vms; ++i) {
                const std::string address = m_subnet.address(host++);
                m_vms.push_back({ VmId(zone.name + "-" + std::to_string(i)),
                                  { RegionId(region.name), AvailabilityZoneId(zone.name) },
                                  address,
                                  endpoint(address, callerPort),
                                  endpoint(address, operatorPort),
                                  m_options.program });
            }
        }
    }
}

void Deployment::planTargets()
{
    int port = firstTargetPort;
    for (const PlannedService &service : m_plan.services) {
        for (const PlannedRegion &region : m_plan.regions) {
            for (const PlannedZone &zone : region.zones) {
                for (int i = 1; i <= service.targetsPerZone; ++i) {
                    const TargetId id(service.name + "-" + zone.name + "-" + std::to_string(i));
                    m_targets.push_back({ id,
                                          ServiceId(service.name),
                                          { RegionId(region.name), AvailabilityZoneId(zone.name) },
                                          "",
                                          endpoint(m_subnet.address(targetHost), port++),
                                          service.slots });
                }
            }
        }
    }
}

std::vector<LinkSettings> Deployment::links() const
{
    std::vector<LinkSettings> links;
    const auto add = [&](const std::string &name, const std::string &connect) {
        const auto known = m_links.find(name);
        links.push_back({ name, known == m_links.end() ? "" : known->second, connect });
    };
    for (const PlannedRegion &region : m_plan.regions) {
        add("store:" + region.name, endpoint(m_subnet.address(platformHost), platformPort));
        for (const PlannedZone &zone : region.zones) {
            for (const DeployedVm &vm : m_vms) {
                if (vm.locality.availabilityZone.text() != zone.name) {
                    add(fleetLink(zone.name, vm.locality.availabilityZone.text(), vm.vm.text()),
                        endpoint(vm.address, fleetPort));
                }
            }
        }
    }
    for (const DeployedTarget &target : m_targets) {
        add("target:" + target.target.text(), target.directAddress);
    }
    return links;
}

std::string Deployment::linkAddress(const std::string &link) const
{
    return m_links.at(link);
}

std::string Deployment::key(const std::string &customer) const
{
    return customer + "-1." + m_secrets.at(customer);
}

DeployedVm &Deployment::vm(const std::string &name)
{
    return *std::find_if(m_vms.begin(), m_vms.end(), [&](const DeployedVm &candidate) {
        return candidate.vm.text() == name;
    });
}

std::vector<DeployedVm *> Deployment::vmsOf(const std::string &region)
{
    std::vector<DeployedVm *> result;
    for (DeployedVm &candidate : m_vms) {
        if (candidate.locality.region.text() == region) {
            result.push_back(&candidate);
        }
    }
    return result;
}

std::string Deployment::targetSettings() const
{
    std::ostringstream text;
    text << "{\"controlAddress\":" << quoted(endpoint(m_subnet.address(targetHost), targetControlPort))
         << ",\"secrets\":[";
    const char *separator = "";
    for (const auto &[customer, secret] : m_secrets) {
        text << separator << quoted(secret);
        separator = ",";
    }
    text << "],\"targets\":[";
    separator = "";
    for (const DeployedTarget &target : m_targets) {
        const auto service =
            std::find_if(m_plan.services.begin(), m_plan.services.end(), [&](const PlannedService &planned) {
                return planned.name == target.service.text();
            });
        text << separator << "{\"id\":" << quoted(target.target.text()) << ",\"service\":" << quoted(service->name)
             << ",\"address\":" << quoted(target.directAddress) << ",\"slots\":" << service->slots
             << ",\"connectionLimit\":" << service->connections
             << ",\"serviceTimeMs\":" << service->serviceTime.count() / 1000 << "}";
        separator = ",";
    }
    text << "]}";
    return text.str();
}

std::string Deployment::vmSettings(const DeployedVm &vm) const
{
    const std::string zone = vm.locality.availabilityZone.text();
    std::ostringstream text;
    text << "{\"vm\":" << quoted(vm.vm.text()) << ",\"region\":" << quoted(vm.locality.region.text())
         << ",\"availabilityZone\":" << quoted(zone) << ",\"address\":" << quoted(vm.address)
         << ",\"callerPort\":" << callerPort << ",\"fleetPort\":" << fleetPort << ",\"operatorPort\":" << operatorPort
         << ",\"operatorToken\":" << quoted(m_operatorToken)
         << ",\"platformAddress\":" << quoted(linkAddress("store:" + vm.locality.region.text()))
         << ",\"traceFile\":" << quoted((m_folder->path() / (vm.vm.text() + ".traces")).string())
         << ",\"addressMap\":{";
    const char *separator = "";
    for (const DeployedVm &other : m_vms) {
        const std::string otherZone = other.locality.availabilityZone.text();
        if (otherZone != zone) {
            text << separator << quoted(endpoint(other.address, fleetPort)) << ":"
                 << quoted(linkAddress(fleetLink(zone, otherZone, other.vm.text())));
            separator = ",";
        }
    }
    text << "},\"seedVms\":[";
    separator = "";
    for (const DeployedVm &other : m_vms) {
        if (other.vm != vm.vm) {
            text << separator << "{\"vm\":" << quoted(other.vm.text())
                 << ",\"region\":" << quoted(other.locality.region.text())
                 << ",\"availabilityZone\":" << quoted(other.locality.availabilityZone.text())
                 << ",\"address\":" << quoted(other.address) << ",\"callerPort\":" << callerPort
                 << ",\"fleetPort\":" << fleetPort << "}";
            separator = ",";
        }
    }
    text << "]";
    if (!m_options.extraSettings.empty()) {
        text << "," << m_options.extraSettings;
    }
    text << "}";
    return text.str();
}

std::vector<std::string> Deployment::configurationCommands() const
{
    std::vector<std::string> commandTexts;
    for (const PlannedRegion &region : m_plan.regions) {
        commandTexts.push_back("set region " + region.name);
    }
    for (const PlannedRegion &region : m_plan.regions) {
        if (!region.fallbacks.empty()) {
            commandTexts.push_back("set region " + region.name + " fallbacks " + joined(region.fallbacks));
        }
    }
    for (const PlannedService &service : m_plan.services) {
        commandTexts.push_back("set service " + service.name + (service.isOpenToAll ? " open" : " keyed"));
    }
    for (const DeployedTarget &target : m_targets) {
        const auto service =
            std::find_if(m_plan.services.begin(), m_plan.services.end(), [&](const PlannedService &planned) {
                return planned.name == target.service.text();
            });
        commandTexts.push_back("set target " + target.target.text() + " service " + target.service.text() + " region "
                               + target.locality.region.text() + " zone " + target.locality.availabilityZone.text()
                               + " address " + target.address + " slots " + std::to_string(target.slots)
                               + " connections " + std::to_string(service->connections));
    }
    for (const PlannedCustomer &customer : m_plan.customers) {
        std::ostringstream set;
        set << "set customer " << customer.name << " rate " << customer.ratePerSecond << " burst " << customer.burst;
        commandTexts.push_back(set.str());
        commandTexts.push_back("grant key " + customer.name + "-1 customer " + customer.name + " hash "
                               + sha256Hex(m_secrets.at(customer.name)));
    }
    return commandTexts;
}

Result<std::unique_ptr<Deployment>> Deployment::create(const DeploymentPlan &plan, const DeploymentOptions &options)
{
    std::unique_ptr<Deployment> deployment(new Deployment(plan, options));
    BOOST_LEAF_ASSIGN(deployment->m_folder, ScratchFolder::create("sapphire-" + plan.name));
    if (options.keepsFolder) {
        deployment->m_folder->keep();
    }
    BOOST_LEAF_CHECK(deployment->startStandIns());
    for (const DeployedVm &planned : deployment->m_vms) {
        const std::string &name = planned.vm.text();
        if (std::find(options.absentVms.begin(), options.absentVms.end(), name) == options.absentVms.end()) {
            BOOST_LEAF_CHECK(deployment->startVm(name));
        }
    }
    BOOST_LEAF_CHECK(deployment->configure());
    return deployment;
}

Result<void> Deployment::startStandIns()
{
    BOOST_LEAF_ASSIGN(m_platform,
                      PlatformStandIn::create(*m_folder, endpoint(m_subnet.address(platformHost), platformPort)));
    BOOST_LEAF_AUTO(file, m_folder->write("targets.json", targetSettings()));
    BOOST_LEAF_ASSIGN(m_targetStandIn,
                      ChildProcess::create("target-stand-in", { "--settings=" + file.string() }, *m_folder, "targets"));
    BOOST_LEAF_CHECK(waitUntilReady(*m_targetStandIn, endpoint(m_subnet.address(targetHost), targetControlPort),
                                    "/control/counters"));
    BOOST_LEAF_ASSIGN(m_proxy,
                      FaultProxy::create(*m_folder, endpoint(m_subnet.address(proxyHost), proxyControlPort), links()));
    return healNetwork();
}

Result<void> Deployment::startVm(const std::string &name)
{
    DeployedVm &started = vm(name);
    BOOST_LEAF_AUTO(file, m_folder->write(name + ".json", vmSettings(started)));
    BOOST_LEAF_CHECK(
        m_platform->putVm({ started.vm, started.locality, { started.address, callerPort, fleetPort }, false }));
    started.process.reset();
    BOOST_LEAF_ASSIGN(started.process,
                      ChildProcess::create(started.program, { "--settings=" + file.string() }, *m_folder, name));
    return {};
}

Result<void> Deployment::waitUntilServing(const std::string &name, Deadline deadline)
{
    DeployedVm &awaited = vm(name);
    std::string last;
    const bool isServing = waitFor(
        [&] {
            const Outcome<HttpAnswer> answer = capture([&] {
                return HttpCall { "GET", "http://" + awaited.operatorAddress + "/health", {}, "" }.run();
            });
            last = answer ? answer.value().body : answer.error().message;
            return answer && answer.value().status == 200;
        },
        deadline);
    if (!isServing) {
        return fail(ErrorCode::Timeout, name + " is not serving: " + last + " " + awaited.process->errorOutput());
    }
    return {};
}

Result<void> Deployment::configure()
{
    const Deadline deadline = after(startTimeout);
    const auto first = std::find_if(m_vms.begin(), m_vms.end(), [](const DeployedVm &candidate) {
        return candidate.process != nullptr;
    });
    BOOST_LEAF_CHECK(waitUntilServing(first->vm.text(), deadline));
    BOOST_LEAF_CHECK(runCommands(configurationCommands()));
    for (const DeployedVm &started : m_vms) {
        if (started.process) {
            BOOST_LEAF_CHECK(waitUntilServing(started.vm.text(), deadline));
        }
    }
    BOOST_LEAF_CHECK(command(first->vm.text(),
                             "set region " + m_plan.regions.front().name + " fallbacks "
                                 + joined(m_plan.regions.front().fallbacks)));
    return {};
}

Result<void> Deployment::runCommands(const std::vector<std::string> &commandTexts)
{
    for (const std::string &commandText : commandTexts) {
        BOOST_LEAF_AUTO(answer, command(m_vms.front().vm.text(), commandText, shortWait));
        if (answer.find("\"outcome\":\"in-force\"") == std::string::npos
            && answer.find("\"outcome\":\"recorded\"") == std::string::npos) {
            std::string message = commandText;
            message += ": ";
            message += answer;
            return fail(ErrorCode::Internal, message);
        }
    }
    return {};
}

Result<std::string> Deployment::command(const std::string &vmName, const std::string &text, Milliseconds wait)
{
    const OperatorClient client({ { vm(vmName).operatorAddress }, m_operatorToken, "ana", wait });
    return client.send(text, "deployment-" + std::to_string(++m_nextCommand));
}

Result<std::string> Deployment::targetControl(const std::string &pathAndQuery)
{
    return controlCall(endpoint(m_subnet.address(targetHost), targetControlPort), "GET", pathAndQuery, "");
}

Result<void> Deployment::delayLinks(const std::string &prefix, Microseconds roundTrip, std::int64_t megabitsPerSecond)
{
    FaultCommand command;
    command.name = prefix;
    command.isPrefix = true;
    command.faults.delay = { roundTrip / 2, roundTrip / 2 };
    command.faults.bytesPerSecond = static_cast<std::uint64_t>(megabitsPerSecond * bytesPerMegabit);
    return m_proxy->apply(command);
}

Result<void> Deployment::healNetwork()
{
    BOOST_LEAF_CHECK(m_proxy->clear(""));
    if (!m_options.hasNetworkDelays) {
        return {};
    }
    const PlannedNetwork &network = m_plan.network;
    for (const PlannedRegion &from : m_plan.regions) {
        const bool hasStore = from.name == m_plan.storeRegion;
        BOOST_LEAF_CHECK(delayLinks("store:" + from.name, hasStore ? network.zone : network.region, 0));
        for (const PlannedZone &zone : from.zones) {
            for (const PlannedRegion &to : m_plan.regions) {
                for (const PlannedZone &toZone : to.zones) {
                    if (zone.name == toZone.name || toZone.vms == 0) {
                        continue;
                    }
                    const bool isSameRegion = from.name == to.name;
                    BOOST_LEAF_CHECK(delayLinks(fleetLink(zone.name, toZone.name, ""),
                                                isSameRegion ? network.zone : network.region,
                                                isSameRegion ? 0 : network.regionMegabitsPerSecond));
                }
            }
        }
    }
    return delayLinks("target:", network.zone, 0);
}

Result<void> Deployment::cutRegion(const std::string &region)
{
    for (const PlannedRegion &from : m_plan.regions) {
        for (const PlannedZone &zone : from.zones) {
            for (const DeployedVm &to : m_vms) {
                const bool crossesCut = (from.name == region) != (to.locality.region.text() == region);
                if (crossesCut) {
                    BOOST_LEAF_CHECK(
                        m_proxy->cut(fleetLink(zone.name, to.locality.availabilityZone.text(), to.vm.text())));
                }
            }
        }
        const bool isOnStoreSide = (from.name == region) == (m_plan.storeRegion == region);
        if (!isOnStoreSide) {
            BOOST_LEAF_CHECK(m_proxy->cut("store:" + from.name));
        }
    }
    return {};
}

} // namespace Sapphire
