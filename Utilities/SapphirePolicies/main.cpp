#include <SapphirePolicies/PolicyReport.h>
#include <SapphirePolicies/PolicySimulation.h>

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(loads, "1,1.5,2,2.5,3,3.5", "loads, as multiples of what all slots can process without cache hits");
DEFINE_int32(seeds, 5, "runs per policy and load, each with its own seed");
DEFINE_int32(vms, 16, "VMs, a multiple of 4");
DEFINE_int32(targets, 12, "targets, a multiple of 4");
DEFINE_int32(seconds, 30, "simulated time of a run");
DEFINE_double(first_zone, 0.4, "fraction of requests sent to the first of four zones; the rest go to random zones");
DEFINE_string(plot, "", "file to write an SVG plot to");

using namespace Sapphire;

namespace {

std::vector<double> loads()
{
    std::vector<double> result;
    std::istringstream stream(FLAGS_loads);
    std::string part;
    while (std::getline(stream, part, ',')) {
        std::istringstream number(part);
        double load = 0;
        if (!(number >> load) || !number.eof() || load <= 0 || load > 10) {
            return {};
        }
        result.push_back(load);
    }
    return result;
}

/// Returns an error message if a flag has an invalid value, and an empty string otherwise.
std::string flagError()
{
    constexpr int zones = 4;
    constexpr int most = 1'000;
    const auto isCount = [](int value) {
        return value >= zones && value <= most && value % zones == 0;
    };
    if (loads().empty()) {
        return "--loads must be numbers above 0 and up to 10, separated by commas";
    }
    if (!isCount(FLAGS_vms) || !isCount(FLAGS_targets)) {
        return "--vms and --targets must be multiples of 4 from 4 to 1000";
    }
    if (FLAGS_seeds < 1 || FLAGS_seeds > most || FLAGS_seconds < 1 || FLAGS_seconds > most) {
        return "--seeds and --seconds must be numbers from 1 to 1000";
    }
    return FLAGS_first_zone < 0 || FLAGS_first_zone > 1 ? "--first_zone must be a fraction from 0 to 1" : "";
}

PolicyRow simulate(const ComparedPolicy &policy, double load)
{
    PolicyRow row { policy.name, load };
    for (int seed = 1; seed <= FLAGS_seeds; ++seed) {
        PolicyScenario scenario;
        scenario.vms = FLAGS_vms;
        scenario.targets = FLAGS_targets;
        scenario.duration = std::chrono::seconds(FLAGS_seconds);
        scenario.firstZoneFraction = FLAGS_first_zone;
        scenario.load = load;
        scenario.seed = static_cast<std::uint64_t>(seed);
        row.outcomes.push_back(PolicySimulation(scenario, policy).run());
    }
    return row;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(
        "Compares policies for placing, queueing and refusing requests in a simulation of VMs and targets.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (const std::string error = flagError(); !error.empty()) {
        std::cerr << error << std::endl;
        return 2;
    }
    const std::vector<ComparedPolicy> policies = comparedPolicies();
    std::vector<PolicyRow> rows;
    for (const double load : loads()) {
        for (const ComparedPolicy &policy : policies) {
            rows.push_back(simulate(policy, load));
        }
    }
    writeTable(std::cout, rows);
    if (FLAGS_plot.empty()) {
        return 0;
    }
    std::ofstream plot(FLAGS_plot);
    writePlot(plot, rows);
    plot.flush();
    if (!plot) {
        std::cerr << "cannot write " << FLAGS_plot << std::endl;
        return 1;
    }
    return 0;
}
