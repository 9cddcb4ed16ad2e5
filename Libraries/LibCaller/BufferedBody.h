#pragma once

#include <LibExchange/RequestHandler.h>

#include <string>

namespace Sapphire {

/// A body whose beginning is read before the request is dispatched, and a small body as a whole. A slow caller then
/// doesn't occupy a slot of a target, and the request can be fingerprinted.
class BufferedBody final : public BodySource
{
public:
    /// Longest body that is read as a whole, in bytes.
    static constexpr std::size_t mostBuffered = 65'536;

    explicit BufferedBody(BodySource &source);

    /// Reads until the end of the body or until the buffer is full. Fails like BodySource::read.
    [[nodiscard]] Result<void> fill();
    /// Returns whether the buffer holds the whole body.
    bool isWhole() const
    {
        return m_isAtEnd;
    }
    const std::string &buffered() const
    {
        return m_buffer;
    }

    Result<std::size_t> read(std::span<char> buffer) override;

private:
    BodySource &m_source;
    std::string m_buffer;
    std::size_t m_position { 0 };
    bool m_isAtEnd { false };
};

} // namespace Sapphire
