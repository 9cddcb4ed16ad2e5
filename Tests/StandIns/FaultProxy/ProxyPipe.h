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

/// The bytes of one direction of a connection that wait for their time of release, and the stream's end after them.
class ProxyPipe
{
public:
    /// Adds bytes; nothing may follow the end.
    void push(std::string_view bytes, TimePoint release);
    void pushEnd(StreamEnd end, TimePoint release);
    /// Drops all bytes, for good: whatever is pushed from now on is dropped as well.
    void silence();

    /// Returns whether the source has to wait.
    bool isFull() const;
    bool isSilent() const;
    /// Returns whether the source has ended.
    bool hasEnd() const;
    /// Returns whether nothing is left to be done: the end was taken, or will never be due.
    bool isDone() const;

    /// Returns the bytes that are due, empty if there are none.
    std::string_view dueBytes(TimePoint now) const;
    void consume(std::size_t count);
    /// Takes the end once all bytes were consumed and it is due.
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
