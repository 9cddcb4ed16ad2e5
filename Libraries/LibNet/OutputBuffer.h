#pragma once

#include <string>
#include <string_view>

namespace Sapphire {

/// The bytes that wait to be written to a connection. Takes up memory in proportion to what waits, however much has
/// been written before.
class OutputBuffer
{
public:
    void append(std::string_view bytes);
    /// The bytes that wait, valid until the next change.
    std::string_view waiting() const
    {
        return std::string_view(m_bytes).substr(m_begin);
    }
    std::size_t size() const
    {
        return m_bytes.size() - m_begin;
    }
    bool isEmpty() const
    {
        return size() == 0;
    }
    /// Removes the first `count` of the waiting bytes.
    void consume(std::size_t count);
    void clear();
    /// The memory that is taken up, in bytes.
    std::size_t capacity() const
    {
        return m_bytes.capacity();
    }

private:
    std::string m_bytes;
    std::size_t m_begin { 0 }; ///< Bytes before it have been consumed.
};

} // namespace Sapphire
