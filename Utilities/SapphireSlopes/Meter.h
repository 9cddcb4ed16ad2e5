#pragma once

#include <LibCore/Deadline.h>

#include <functional>

namespace Sapphire {

/// Measures this process: time of operations and memory in use.
class Meter
{
public:
    /// Returns the processor time that this thread has used.
    static Microseconds threadTime();
    /// Returns the median over the repetitions of an operation's processor time in microseconds.
    static double medianMicroseconds(int repetitions, const std::function<void()> &operation);
    /// Returns the mean processor time in microseconds of an operation that is too short for a measurement of its own.
    static double meanMicroseconds(int repetitions, const std::function<void()> &operation);
    /// Returns the bytes that are allocated on the heap.
    static double heapBytes();
    /// Forgets the highest resident memory so far, gives free memory back and returns the bytes that are resident.
    static double startPeak();
    /// Returns the highest resident memory since startPeak(), in bytes.
    static double peakBytes();
    /// Returns the machine's load average over the last minute.
    static double loadAverage();
};

} // namespace Sapphire
