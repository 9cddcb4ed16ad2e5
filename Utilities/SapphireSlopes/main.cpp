#include <SapphireSlopes/BlockSlopes.h>
#include <SapphireSlopes/ComponentSlopes.h>
#include <SapphireSlopes/FleetSlopes.h>
#include <SapphireSlopes/LookUpSlopes.h>
#include <SapphireSlopes/Meter.h>
#include <SapphireSlopes/ProcessSlopes.h>
#include <SapphireSlopes/SlopeReport.h>

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <sstream>

DEFINE_string(groups, "blocks,lookup,vm-list,fleet,limiter,targets,ledger",
              "groups of slopes, in order; nodes, changes, lookup-rate, sites and customers also exist and start "
              "fleets of daemons");
DEFINE_string(output, "text", "text or json");
DEFINE_string(nodes, "4,8,12,16,20", "sizes of the running fleets, multiples of 4");
DEFINE_int32(rest_seconds, 20, "how long a running fleet is measured at rest");
DEFINE_int32(change_seconds, 20, "how long changes are sent to a running fleet");
DEFINE_double(change_rate, 2, "changes a second in the group nodes");

using namespace Sapphire;

namespace {

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ',')) {
        parts.push_back(part);
    }
    return parts;
}

Result<std::vector<int>> fleetSizes()
{
    constexpr int zones = 4;
    constexpr int most = 40;
    std::vector<int> sizes;
    for (const std::string &part : split(FLAGS_nodes)) {
        const bool isNumber =
            !part.empty() && part.size() < 4 && part.find_first_not_of("0123456789") == std::string::npos;
        const int size = isNumber ? std::stoi(part) : 0;
        if (size < zones || size > most || size % zones != 0) {
            return fail(ErrorCode::InvalidArgument, "--nodes has " + part + "; expected multiples of 4 from 4 to 40");
        }
        sizes.push_back(size);
    }
    return sizes;
}

Result<std::vector<std::unique_ptr<SlopeGroup>>> chosenGroups()
{
    const MeasurementIntervals intervals { std::chrono::seconds(FLAGS_rest_seconds),
                                           std::chrono::seconds(FLAGS_change_seconds), FLAGS_change_rate };
    BOOST_LEAF_AUTO(sizes, fleetSizes());
    std::vector<std::unique_ptr<SlopeGroup>> all;
    all.push_back(std::make_unique<BlockSlopes>());
    all.push_back(std::make_unique<LookUpSlopes>());
    all.push_back(std::make_unique<VmListSlopes>());
    all.push_back(std::make_unique<FleetSlopes>());
    all.push_back(std::make_unique<LimiterSlopes>());
    all.push_back(std::make_unique<TargetSlopes>());
    all.push_back(std::make_unique<LedgerSlopes>());
    all.push_back(std::make_unique<NodeSlopes>(sizes, intervals));
    all.push_back(std::make_unique<ChangeSlopes>(intervals));
    all.push_back(std::make_unique<LookUpRateSlopes>(intervals));
    all.push_back(std::make_unique<TargetCountSlopes>(intervals));
    all.push_back(std::make_unique<CustomerSlopes>(intervals));
    std::vector<std::unique_ptr<SlopeGroup>> chosen;
    for (const std::string &name : split(FLAGS_groups)) {
        const auto found = std::find_if(all.begin(), all.end(), [&](const auto &group) {
            return group && group->name() == name;
        });
        if (found == all.end()) {
            return fail(ErrorCode::InvalidArgument, "--groups has " + name + ", which is unknown or named twice");
        }
        chosen.push_back(std::move(*found));
    }
    return chosen;
}

Result<void> measure()
{
    BOOST_LEAF_AUTO(groups, chosenGroups());
    for (const std::unique_ptr<SlopeGroup> &group : groups) {
        SlopeReport report { group->name(), Meter::loadAverage() };
        BOOST_LEAF_ASSIGN(report.slopes, group->measure());
        report.loadAfter = Meter::loadAverage();
        std::cout << (FLAGS_output == "json" ? report.json() : report.text()) << std::endl;
    }
    return {};
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("measures how costs grow with sizes and extrapolates them, for docs/CAPACITY.md\n"
                            "usage: sapphire-slopes [--groups=NAME,...] [--output=text|json]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const Outcome<void> outcome = capture(measure);
    if (!outcome) {
        std::cerr << "sapphire-slopes: " << outcome.error().message << '\n';
        return 1;
    }
    return 0;
}
