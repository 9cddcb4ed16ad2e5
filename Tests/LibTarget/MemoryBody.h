#pragma once

#include <LibExchange/RequestHandler.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

namespace Sapphire {

/// A request body held in memory.
class MemoryBody final : public BodySource
{
public:
    explicit MemoryBody(std::string text = "") : m_text(std::move(text))
    {
    }

    /// Makes reads fail with the error after `position` bytes.
    void failAt(std::size_t position, Error error)
    {
        m_text.resize(position);
        m_error = std::move(error);
    }
    /// Makes each read wait for `pause` and return at most `pieceBytes` bytes.
    void slowDown(std::size_t pieceBytes, Milliseconds pause)
    {
        m_pieceBytes = pieceBytes;
        m_pause = pause;
    }
    std::size_t readBytes() const
    {
        return m_position;
    }

    Result<std::size_t> read(std::span<char> buffer) override
    {
        std::this_thread::sleep_for(m_pause);
        const std::size_t count = std::min({ buffer.size(), m_pieceBytes, m_text.size() - m_position });
        if (count == 0 && m_error) {
            return fail(*m_error);
        }
        std::copy_n(m_text.data() + m_position, count, buffer.data());
        m_position += count;
        return count;
    }

private:
    std::string m_text;
    std::size_t m_position { 0 };
    std::size_t m_pieceBytes { std::string::npos };
    Milliseconds m_pause { 0 };
    std::optional<Error> m_error;
};

} // namespace Sapphire
