#pragma once

#include <utility>

namespace Sapphire {

/// Owns a file descriptor.
class FileHandle
{
public:
    FileHandle() = default;
    explicit FileHandle(int file) : m_file(file)
    {
    }
    ~FileHandle()
    {
        close();
    }
    FileHandle(FileHandle &&other) noexcept : m_file(std::exchange(other.m_file, -1))
    {
    }
    FileHandle &operator=(FileHandle &&other) noexcept
    {
        if (this != &other) {
            close();
            m_file = std::exchange(other.m_file, -1);
        }
        return *this;
    }

    int number() const
    {
        return m_file;
    }
    bool isOpen() const
    {
        return m_file >= 0;
    }
    void close();

private:
    int m_file { -1 };
};

} // namespace Sapphire
