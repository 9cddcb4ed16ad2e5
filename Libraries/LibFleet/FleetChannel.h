#pragma once

#include <LibCore/Deadline.h>

#include <Fleet.grpc.pb.h>

#include <atomic>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <string>

namespace Sapphire {

/// Bytes that may be under way on a stream. The number is fixed, since gRPC's probes for it cost most calls of the
/// exchange a packet of their own; 1 MB lets 18 MB/s pass between regions that are 55 ms apart.
inline constexpr int streamWindowBytes = 1'000'000;

/// A connection to another VM. Only the sources of this library include this header, since it brings in gRPC.
struct FleetChannel
{
    std::string address;
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<sapphire::wire::Fleet::Stub> stub;
    std::atomic<int> timeouts { 0 }; ///< Calls in a row that got no answer in time.
    std::atomic<TimePoint::rep> usedAt { 0 };
};

/// Returns the end of a call on the clock that gRPC takes deadlines on.
inline std::chrono::system_clock::time_point callDeadline(Microseconds remaining)
{
    return std::chrono::system_clock::now() + remaining;
}

} // namespace Sapphire
