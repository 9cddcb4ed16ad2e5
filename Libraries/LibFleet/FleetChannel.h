#pragma once

#include <LibCore/Deadline.h>

#include <Fleet.grpc.pb.h>

#include <atomic>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <string>

namespace Sapphire {

/// Flow control window of a stream, in bytes. It is fixed, since gRPC's probes of the bandwidth-delay product add a
/// packet to most calls of the exchange. 1 MB allows 18 MB/s between regions with a round-trip time of 55 ms.
inline constexpr int streamWindowBytes = 1'000'000;

/// A gRPC channel to another VM. Only the sources of this library include this header, since it includes gRPC.
struct FleetChannel
{
    std::string address;
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<sapphire::wire::Fleet::Stub> stub;
    std::atomic<int> timeouts { 0 }; ///< Consecutive calls that timed out.
    std::atomic<TimePoint::rep> usedAt { 0 };
};

/// Returns the deadline of a call on the system clock, as gRPC expects it.
inline std::chrono::system_clock::time_point callDeadline(Microseconds remaining)
{
    return std::chrono::system_clock::now() + remaining;
}

} // namespace Sapphire
