#pragma once

#include <LibCore/Deadline.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace Sapphire {

/// How a stream of bytes ends.
enum class StreamEnd {
    Finish, ///< No more bytes follow.
    Reset, ///< The connection broke.
};

/// Delay queue of one direction of a connection: bytes wait for their release time, and the end of the stream follows
/// them.
class ProxyPipe
{
public:
    /// Adds bytes; nothing may follow the end.
    void push(std::string_view bytes, TimePoint release);
    void pushEnd(StreamEnd end, TimePoint release);
    /// Drops the queued bytes and all that are pushed later.
    void silence();

    /// Returns whether the source has to wait.
    bool isFull() const;
    bool isSilent() const;
    /// Returns whether the source has ended.
    bool hasEnd() const;
    /// Returns whether nothing is left to write: the end was taken, or never will be because the pipe is silent.
    bool isDone() const;

    /// Returns the bytes that are due, empty if there are none.
    std::string_view dueBytes(TimePoint now) const;
    void consume(std::size_t count);
    /// Takes the end of the stream once all bytes were consumed and it is due.
    std::optional<StreamEnd> takeDueEnd(TimePoint now);
    /// Returns when the next bytes or the end are released; nothing if none wait.
    std::optional<TimePoint> nextRelease() const;

private:
    struct Piece
    {
        std::string bytes;
        TimePoint release;
    };

    std::deque<Piece> m_pieces;
    std::size_t m_offset { 0 }; ///< Bytes consumed of the first piece.
    std::size_t m_queued { 0 };
    std::optional<StreamEnd> m_end;
    TimePoint m_endRelease;
    bool m_isEndTaken { false };
    bool m_isSilent { false };
};

} // namespace Sapphire
