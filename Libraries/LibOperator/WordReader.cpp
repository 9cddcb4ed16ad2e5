#include <LibOperator/WordReader.h>

#include <charconv>
#include <sstream>

namespace Sapphire {

namespace {

template<typename Number>
Result<Number> parseNumber(const std::string &word, const std::string &what, Number least, Number most)
{
    Number number {};
    const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), number);
    if (error != std::errc() || end != word.data() + word.size() || !(number >= least && number <= most)) {
        std::ostringstream message;
        message << "found '" << word << "', expected " << what << " from " << least << " to " << most;
        return fail(ErrorCode::InvalidArgument, message.str());
    }
    return number;
}

} // namespace

WordReader::WordReader(const std::string &text)
{
    std::istringstream stream(text);
    for (std::string word; stream >> word;) {
        m_words.push_back(word);
    }
}

bool WordReader::takeIf(const std::string &word)
{
    if (isAtEnd() || m_words[m_position] != word) {
        return false;
    }
    ++m_position;
    return true;
}

Result<std::string> WordReader::take(const std::string &what)
{
    if (isAtEnd()) {
        return fail(ErrorCode::InvalidArgument, "the statement ends where " + what + " is expected");
    }
    return m_words[m_position++];
}

Result<void> WordReader::expect(const std::string &word)
{
    BOOST_LEAF_AUTO(found, take("'" + word + "'"));
    if (found != word) {
        return fail(ErrorCode::InvalidArgument, "found '" + found + "', expected '" + word + "'");
    }
    return {};
}

Result<double> WordReader::takeNumber(const std::string &what, double least, double most)
{
    BOOST_LEAF_AUTO(word, take(what));
    return parseNumber(word, what, least, most);
}

Result<std::int64_t> WordReader::takeInteger(const std::string &what, std::int64_t least, std::int64_t most)
{
    BOOST_LEAF_AUTO(word, take(what));
    return parseNumber(word, what, least, most);
}

Result<void> WordReader::expectEnd() const
{
    if (!isAtEnd()) {
        return fail(ErrorCode::InvalidArgument, "found '" + m_words[m_position] + "' after the end of the statement");
    }
    return {};
}

} // namespace Sapphire
