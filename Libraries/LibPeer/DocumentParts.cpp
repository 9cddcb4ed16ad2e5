#include <LibPeer/DocumentParts.h>

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <array>
#include <sstream>

namespace Sapphire {

namespace {

// A datagram that spans several packets is lost if any one of them is, so parts are kept small.
constexpr std::size_t partBytes = 6'000;
constexpr std::size_t mostParts = 8;
// Limit after decompression; no valid document is larger.
constexpr std::size_t mostDocumentBytes = 4'000'000;

std::string compress(const std::string &document)
{
    std::ostringstream output;
    Poco::DeflatingOutputStream compressor(output);
    compressor << document;
    compressor.close();
    return output.str();
}

std::optional<std::string> decompress(const std::string &bytes)
{
    try {
        std::istringstream input(bytes);
        Poco::InflatingInputStream decompressor(input);
        std::string document;
        std::array<char, 16'384> buffer {};
        while (document.size() < mostDocumentBytes && decompressor) {
            decompressor.read(buffer.data(), buffer.size());
            document.append(buffer.data(), static_cast<std::size_t>(decompressor.gcount()));
        }
        return decompressor.eof() ? std::optional(std::move(document)) : std::nullopt;
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

} // namespace

std::vector<std::string> divideDocument(const std::string &document)
{
    const std::string bytes = compress(document);
    std::vector<std::string> parts;
    if (document.size() >= mostDocumentBytes || bytes.size() > partBytes * mostParts) {
        return parts;
    }
    for (std::size_t begin = 0; begin < bytes.size(); begin += partBytes) {
        parts.push_back(bytes.substr(begin, partBytes));
    }
    return parts;
}

std::optional<std::string> DocumentParts::add(std::uint64_t digest, std::size_t number, std::size_t count,
                                              std::string part)
{
    if (count > mostParts || number >= count) {
        return std::nullopt;
    }
    if (digest != m_digest || count != m_parts.size()) {
        m_lostDocuments += m_parts.empty() ? 0 : 1;
        m_digest = digest;
        m_parts.assign(count, std::nullopt);
    }
    m_parts[number] = std::move(part);
    std::string bytes;
    for (const std::optional<std::string> &known : m_parts) {
        if (!known) {
            return std::nullopt;
        }
        bytes += *known;
    }
    m_parts.clear();
    std::optional<std::string> document = decompress(bytes);
    m_lostDocuments += document ? 0 : 1;
    return document;
}

} // namespace Sapphire
