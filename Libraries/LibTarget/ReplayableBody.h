#pragma once

#include <LibExchange/RequestHandler.h>

#include <optional>
#include <string>

namespace Sapphire {

/// Keeps the beginning of a request's body, so that a request that has not run can be sent again.
class ReplayableBody final : public BodySource
{
public:
    /// Whole bodies are kept up to this size only.
    static constexpr std::size_t mostKeptBytes = 65536;

    explicit ReplayableBody(BodySource &source) : m_source(source)
    {
    }

    /// Reads ahead until at least so many bytes, or the end, are there; an error is returned by the read() that
    /// reaches it. Single reads of the source take up to a piece of 16 KiB.
    void prefetch(std::size_t leastBytes);
    Result<std::size_t> read(std::span<char> buffer) override;
    /// Whether rewind() is possible: nothing was read that is not kept.
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
