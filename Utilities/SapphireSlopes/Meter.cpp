#include <SapphireSlopes/Meter.h>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <string>
#include <vector>

#include <malloc.h>

namespace Sapphire {

namespace {

std::int64_t threadCpuNanoseconds()
{
    constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return time.tv_sec * nanosecondsPerSecond + time.tv_nsec;
}

constexpr double nanosecondsPerMicrosecond = 1'000;

/// Returns a value of /proc/self/status, which is given in KiB, in bytes.
double statusBytes(const std::string &name)
{
    constexpr double kibibyte = 1'024;
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind(name + ":", 0) == 0) {
            return std::stod(line.substr(name.size() + 1)) * kibibyte;
        }
    }
    return 0;
}

} // namespace

Microseconds Meter::threadCpuTime()
{
    return std::chrono::duration_cast<Microseconds>(std::chrono::nanoseconds(threadCpuNanoseconds()));
}

double Meter::medianMicroseconds(int repetitions, const std::function<void()> &operation)
{
    std::vector<std::int64_t> times;
    for (int i = 0; i < repetitions; ++i) {
        const std::int64_t begin = threadCpuNanoseconds();
        operation();
        times.push_back(threadCpuNanoseconds() - begin);
    }
    std::sort(times.begin(), times.end());
    return static_cast<double>(times[times.size() / 2]) / nanosecondsPerMicrosecond;
}

double Meter::meanMicroseconds(int repetitions, const std::function<void()> &operation)
{
    const std::int64_t begin = threadCpuNanoseconds();
    for (int i = 0; i < repetitions; ++i) {
        operation();
    }
    return static_cast<double>(threadCpuNanoseconds() - begin) / nanosecondsPerMicrosecond / repetitions;
}

double Meter::heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

double Meter::resetPeak()
{
    malloc_trim(0);
    // Resets the peak to the current value; see proc(5).
    std::ofstream("/proc/self/clear_refs") << "5";
    return statusBytes("VmRSS");
}

double Meter::peakBytes()
{
    return statusBytes("VmHWM");
}

double Meter::loadAverage()
{
    double load = 0;
    return getloadavg(&load, 1) == 1 ? load : -1;
}

} // namespace Sapphire
