#pragma once

#include <LibCore/Deadline.h>

#include <cstddef>

namespace Sapphire {

/// The size that the system has to support, and the budget of the control plane on each node (VM) at that size
/// (docs/design.md, section 1).
namespace RequiredSize {

inline constexpr std::size_t nodes = 730;
inline constexpr std::size_t clientBlocks = 160'000;
inline constexpr std::size_t targetCount = 220; ///< "sites" in the reports.
inline constexpr std::size_t regions = 5;
inline constexpr std::size_t zonesPerRegion = 4;
inline constexpr std::size_t targetsPerRegion = targetCount / regions;
inline constexpr double lookUpsPerSecond = 550; ///< At one node.
inline constexpr double changesPerSecond = 3'300.0 / 86'400.0;
/// The requirements name no number of customers; this is an assumption.
inline constexpr double customers = 1'000;
/// The requirements name no rate of bookings; this is an assumption: 1 a second and node, remembered for two hours.
inline constexpr double rememberedRequests = 7'200;

inline constexpr double controlCorePercent = 1.3;
inline constexpr double controlMegabytes = 64;
inline constexpr double controlBytesPerSecond = 10'000;
inline constexpr double propagationMilliseconds = 14'000;
inline constexpr double platformReadsPerSecond = 2'000;
inline constexpr double platformWritesPerSecond = 300;

inline constexpr double microsecondsPerSecond = 1e6;
inline constexpr double megabyte = 1e6;
/// Processor time a second that the control plane may use, in microseconds.
inline constexpr double controlMicroseconds = controlCorePercent / 100 * microsecondsPerSecond;
/// Processor time of a look-up at which the required rate of look-ups would fill a core.
inline constexpr double lookUpMicroseconds = microsecondsPerSecond / lookUpsPerSecond;

} // namespace RequiredSize

} // namespace Sapphire
