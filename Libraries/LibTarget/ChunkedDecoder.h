#pragma once

#include <LibCore/Result.h>

#include <cstddef>
#include <cstdint>
#include <span>

namespace Sapphire {

/// Decodes the chunked transfer coding (RFC 9112, section 7.1). POCO's chunked stream is not used because it treats a
/// connection that closes within a chunk as the end of the body.
class ChunkedDecoder
{
public:
    /// What one call of decode() did.
    struct Progress
    {
        std::size_t consumed { 0 }; ///< Input bytes that were processed.
        std::size_t produced { 0 }; ///< Bytes written to the output.
    };

    /// Decodes until the input is consumed, the output is full or the body has ended.
    /// Fails with DataLoss if the input violates the coding.
    [[nodiscard]] Result<Progress> decode(std::span<const char> input, std::span<char> output);
    bool isAtEnd() const
    {
        return m_state == State::End;
    }

private:
    enum class State {
        Size,
        Extension,
        SizeEnd,
        Data,
        DataEnd,
        DataLineEnd,
        TrailerStart,
        TrailerLine,
        TrailerLineEnd,
        LastLineEnd,
        End,
    };

    /// Processes one byte that isn't chunk data.
    Result<void> step(char byte);
    Result<void> parseSizeDigit(char byte);
    Result<void> endSizeLine();

    State m_state { State::Size };
    std::uint64_t m_left { 0 };
    int m_digits { 0 };
    std::size_t m_overhead { 0 };
};

} // namespace Sapphire
