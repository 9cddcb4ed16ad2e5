#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Result.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace Sapphire {

enum class Direction : std::size_t {
    ToServer,
    ToClient,
};

inline constexpr std::array<Direction, 2> bothDirections { Direction::ToServer, Direction::ToClient };

/// One value for each direction.
template<typename T>
struct PerDirection
{
    T toServer {};
    T toClient {};

    T &operator[](Direction direction)
    {
        return direction == Direction::ToServer ? toServer : toClient;
    }
    const T &operator[](Direction direction) const
    {
        return direction == Direction::ToServer ? toServer : toClient;
    }
};

/// Faults of a link; they last until they are changed.
struct LinkFaults
{
    /// Latency added in each direction without limiting the throughput. The first bytes that a client sends on a new
    /// connection wait for one more round trip, in place of the TCP handshake, which the proxy cannot delay.
    PerDirection<Microseconds> delay;
    /// Bytes per second in each direction, shared by the link's connections; 0 for no limit.
    std::uint64_t bytesPerSecond { 0 };
    /// Existing connections are reset and new ones refused.
    bool isCut { false };
    /// Drops all bytes in that direction on connections that exist or begin while it is set. These connections stay
    /// silent in that direction after it is cleared.
    PerDirection<bool> isSilent;
    /// An answer longer than this many bytes is cut there and its connection closed; 0 for no limit. An answer is all
    /// that the server sends until the client sends again.
    std::uint64_t truncateAnswerAfter { 0 };
    /// A connection is closed after this many bytes in both directions together; 0 for no limit.
    std::uint64_t closeAfter { 0 };
    /// Number of next answers, on any connection of the link, that are dropped and whose connections are closed.
    std::uint64_t dropAnswers { 0 };
};

/// Replaces the faults of one or several links; faults that are not given are switched off.
struct FaultCommand
{
    /// Name of a link, or the prefix of several names.
    std::string name;
    bool isPrefix { false };
    LinkFaults faults;
    /// Drops all further bytes in that direction on the connections that exist now; new connections work.
    PerDirection<bool> silenceExisting;
    /// Resets the connections that exist now.
    bool resetExisting { false };

    bool selects(const std::string &linkName) const;
};

/// Parses {"link":NAME | "prefix":TEXT, "delayToServerMs", "delayToClientMs", "bytesPerSecond", "cut":true,
/// "silence":"existing|all", "silenceDirection":"both|toServer|toClient", "truncateAnswerAfter", "closeAfter",
/// "dropAnswers", "reset":true}, where all but the first are optional. Fails with InvalidArgument and all errors found.
[[nodiscard]] Result<FaultCommand> parseFaultCommand(const std::string &text);

/// Writes the text that parseFaultCommand() reads. At most one of silenceExisting and faults.isSilent may be set.
std::string faultCommandText(const FaultCommand &command);

} // namespace Sapphire
