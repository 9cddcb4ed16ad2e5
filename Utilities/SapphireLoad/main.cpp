#include <SapphireLoad/LoadRun.h>

#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>

DEFINE_string(plan, "", "JSON file with customers, routes, origins and the duration");
DEFINE_string(output, "text", "text or json");

int main(int argc, char **argv)
{
    using namespace Sapphire;
    gflags::SetUsageMessage(
        "open-loop load generator for sapphiredeck\nusage: sapphire-load --plan FILE [--output text|json]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    std::ifstream file(FLAGS_plan);
    const std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    const Outcome<LoadPlan> plan = capture([&] {
        return LoadPlan::parse(text);
    });
    if (!plan) {
        std::cerr << "sapphire-load: the plan is wrong:\n" << plan.error().message << '\n';
        return 2;
    }
    LoadReport report;
    LoadRun(plan.value()).run(report);
    if (FLAGS_output == "json") {
        std::cout << report.json() << '\n';
        return 0;
    }
    const auto [worst, share] = report.worstServed();
    std::cout << report.table().text() << "worst-served customer: " << worst << ", " << std::fixed
              << std::setprecision(2) << share * 100 << "% of what its rate and burst allow was answered\n";
    return 0;
}
