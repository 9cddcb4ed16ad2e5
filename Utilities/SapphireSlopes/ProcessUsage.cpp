#include <SapphireSlopes/ProcessUsage.h>

#include <fstream>
#include <sstream>
#include <string>

#include <unistd.h>

namespace Sapphire {

ProcessUsage ProcessUsage::of(pid_t process)
{
    const std::string folder = "/proc/" + std::to_string(process);
    ProcessUsage usage;
    std::string stat;
    std::ifstream statFile(folder + "/stat");
    std::getline(statFile, stat);
    // The name in parentheses may contain spaces; user and system time are the 12th and 13th fields after it.
    const std::size_t end = stat.rfind(')');
    if (end != std::string::npos) {
        constexpr int fieldsBeforeTimes = 11;
        std::istringstream fields(stat.substr(end + 1));
        std::string skipped;
        for (int i = 0; i < fieldsBeforeTimes; ++i) {
            fields >> skipped;
        }
        double user = 0;
        double system = 0;
        fields >> user >> system;
        usage.processorSeconds = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    }
    std::ifstream statmFile(folder + "/statm");
    double total = 0;
    double resident = 0;
    statmFile >> total >> resident;
    usage.residentBytes = resident * static_cast<double>(sysconf(_SC_PAGESIZE));
    return usage;
}

} // namespace Sapphire
