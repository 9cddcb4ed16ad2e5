#pragma once

#include <LibCore/Deadline.h>

#include <functional>

namespace Sapphire {

/// Measures the processor time of operations and the memory in use by this process.
class Meter
{
public:
    /// Returns the processor time that this thread has used.
    static Microseconds threadCpuTime();
    /// Returns the median over the repetitions of an operation's processor time in microseconds.
    static double medianMicroseconds(int repetitions, const std::function<void()> &operation);
    /// Returns the mean processor time in microseconds of an operation that is too short to be measured alone.
    static double meanMicroseconds(int repetitions, const std::function<void()> &operation);
    /// Returns the bytes that are allocated on the heap.
    static double heapBytes();
    /// Returns free memory to the system, resets the peak of resident memory and returns the current one in bytes.
    static double resetPeak();
    /// Returns the peak of resident memory since resetPeak(), in bytes.
    static double peakBytes();
    /// Returns the machine's load average over the last minute, or -1 if it is unknown.
    static double loadAverage();
};

} // namespace Sapphire
