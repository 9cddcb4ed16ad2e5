#include <SapphirePolicies/PolicyReport.h>
#include <SapphirePolicies/PolicySimulation.h>

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(loads, "1,1.5,2,2.5,3,3.5", "loads, as parts of what all slots serve without objects at hand");
DEFINE_int32(seeds, 5, "runs of each policy and load");
DEFINE_int32(vms, 16, "VMs, a multiple of 4");
DEFINE_int32(targets, 12, "targets, a multiple of 4");
DEFINE_int32(seconds, 30, "simulated time of a run");
DEFINE_double(first_zone, 0.4, "part of the requests that come to the first of four zones");
DEFINE_string(plot, "", "file for a plot as SVG");

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

/// Returns what is wrong with the flags, or nothing.
std::string wrongFlag()
{
    constexpr int zones = 4;
    constexpr int most = 1'000;
    const auto isCount = [](int value) {
        return value >= zones && value <= most && value % zones == 0;
    };
    if (loads().empty()) {
        return "--loads wants numbers above 0 and up to 10, divided by commas";
    }
    if (!isCount(FLAGS_vms) || !isCount(FLAGS_targets)) {
        return "--vms and --targets want multiples of 4 up to 1000";
    }
    if (FLAGS_seeds < 1 || FLAGS_seeds > most || FLAGS_seconds < 1 || FLAGS_seconds > most) {
        return "--seeds and --seconds want numbers from 1 to 1000";
    }
    return FLAGS_first_zone < 0 || FLAGS_first_zone > 1 ? "--first_zone wants a part from 0 to 1" : "";
}

PolicyRow play(const ComparedPolicy &policy, double load)
{
    PolicyRow row { policy.name, load };
    for (int seed = 1; seed <= FLAGS_seeds; ++seed) {
        PolicyScenario scenario;
        scenario.vms = FLAGS_vms;
        scenario.targets = FLAGS_targets;
        scenario.duration = std::chrono::seconds(FLAGS_seconds);
        scenario.firstZonePart = FLAGS_first_zone;
        scenario.load = load;
        scenario.seed = static_cast<std::uint64_t>(seed);
        row.outcomes.push_back(PolicySimulation(scenario, policy).run());
    }
    return row;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Compares ways of placing, queueing and refusing on a model of targets.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (const std::string wrong = wrongFlag(); !wrong.empty()) {
        std::cerr << wrong << std::endl;
        return 2;
    }
    const std::vector<ComparedPolicy> policies = comparedPolicies();
    std::vector<PolicyRow> rows;
    for (const double load : loads()) {
        for (const ComparedPolicy &policy : policies) {
            rows.push_back(play(policy, load));
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
