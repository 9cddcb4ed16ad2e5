#pragma once

#include <LibExchange/RequestHandler.h>

#include <optional>
#include <string>

namespace Sapphire {

/// Buffers the beginning of a request's body, so that the request can be sent again to another target.
class ReplayableBody final : public BodySource
{
public:
    /// Longest body that can be replayed.
    static constexpr std::size_t mostKeptBytes = 65536;

    explicit ReplayableBody(BodySource &source) : m_source(source)
    {
    }

    /// Reads ahead until at least `leastBytes` bytes or the end of the body are buffered. An error is returned later by
    /// the read() that reaches it. Each read of the source takes up to 16 KiB.
    void prefetch(std::size_t leastBytes);
    Result<std::size_t> read(std::span<char> buffer) override;
    /// Whether rewind() is possible: all bytes that were read are still buffered.
    bool isReplayable() const
    {
        return !m_hasOverflowed;
    }
    void rewind()
    {
        m_position = 0;
    }

private:
    Result<std::size_t> readSource(std::span<char> buffer);

    BodySource &m_source;
    std::string m_kept;
    std::size_t m_position { 0 };
    bool m_isAtEnd { false };
    bool m_hasOverflowed { false };
    std::optional<Error> m_error;
};

} // namespace Sapphire
