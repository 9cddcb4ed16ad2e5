#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Sapphire {

/// Reads the words of a statement from left to right. All functions fail with InvalidArgument.
class WordReader
{
public:
    explicit WordReader(const std::string &text);

    bool isAtEnd() const
    {
        return m_position == m_words.size();
    }
    /// Consumes the next word and returns true if it is the given one.
    bool takeIf(const std::string &word);
    /// Consumes the next word. `what` describes the expected word in error messages.
    [[nodiscard]] Result<std::string> take(const std::string &what);
    [[nodiscard]] Result<void> expect(const std::string &word);
    [[nodiscard]] Result<double> takeNumber(const std::string &what, double least, double most);
    [[nodiscard]] Result<std::int64_t> takeInteger(const std::string &what, std::int64_t least, std::int64_t most);
    [[nodiscard]] Result<void> expectEnd() const;

private:
    std::vector<std::string> m_words;
    std::size_t m_position { 0 };
};

} // namespace Sapphire
