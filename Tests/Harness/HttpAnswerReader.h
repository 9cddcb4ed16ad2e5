#pragma once

#include <Harness/HttpCall.h>
#include <LibCore/Result.h>

#include <string>
#include <string_view>

namespace Sapphire {

/// Parses one HTTP answer incrementally. Distinguishes a truncated answer from a complete one, which POCO's chunked
/// stream does not.
class HttpAnswerReader
{
public:
    explicit HttpAnswerReader(bool hasNoBody);

    /// Fails with DataLoss if the answer is malformed.
    [[nodiscard]] Result<void> add(std::string_view bytes);
    /// Reports that the connection ended. Fails with DataLoss if the answer is incomplete, or with Unavailable if it
    /// had not begun.
    [[nodiscard]] Result<void> end();
    bool isComplete() const;
    HttpAnswer takeAnswer();

private:
    enum class State {
        Head,
        Sized,
        UntilEnd,
        ChunkSize,
        Chunk,
        Trailer,
        Complete,
    };

    /// Parses the next part of the buffered bytes. Returns whether another step may make progress.
    Result<bool> step();
    Result<bool> takeHead();
    Result<void> startBody();
    Result<bool> takeSized();
    Result<bool> takeChunkSize();
    Result<bool> takeChunk();
    Result<bool> takeTrailer();

    bool m_hasNoBody;
    State m_state { State::Head };
    std::string m_buffer;
    std::size_t m_bytesRemaining { 0 }; ///< Bytes still expected of the body or chunk.
    HttpAnswer m_answer;
};

} // namespace Sapphire
