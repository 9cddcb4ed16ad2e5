#pragma once

#include <LibCore/Deadline.h>

#include <cstddef>

namespace Sapphire {

/// The size that the system has to reach, and what control may cost a node there (docs/design.md, section 1).
namespace TargetSize {

inline constexpr std::size_t nodes = 730;
inline constexpr std::size_t clientBlocks = 160'000;
inline constexpr std::size_t sites = 220;
inline constexpr std::size_t regions = 5;
inline constexpr std::size_t zonesPerRegion = 4;
inline constexpr std::size_t sitesPerRegion = sites / regions;
inline constexpr double lookUpsPerSecond = 550; ///< At one node.
inline constexpr double changesPerSecond = 3'300.0 / 86'400.0;
/// The requirements name no number of customers; this is an assumption.
inline constexpr double customers = 1'000;
/// The requirements name no rate of bookings; this is an assumption: 1 a second and node, remembered for two hours.
inline constexpr double rememberedRequests = 7'200;

inline constexpr double controlCorePercent = 1.3;
inline constexpr double controlMegabytes = 64;
inline constexpr double controlBytesPerSecond = 10'000;
inline constexpr double spreadMilliseconds = 14'000;
inline constexpr double platformReadsPerSecond = 2'000;
inline constexpr double platformWritesPerSecond = 300;

inline constexpr double microsecondsPerSecond = 1e6;
inline constexpr double megabyte = 1e6;
/// Processor time a second that the control plane may use.
inline constexpr double controlMicroseconds = controlCorePercent / 100 * microsecondsPerSecond;
/// Time of one look-up at which they would fill a core.
inline constexpr double lookUpMicroseconds = microsecondsPerSecond / lookUpsPerSecond;

} // namespace TargetSize

} // namespace Sapphire
