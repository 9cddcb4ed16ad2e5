#include <LibPeer/DocumentParts.h>

#include <LibCore/Hash.h>

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace Sapphire {

namespace {

// A datagram that spans several packets is lost if any one of them is, so parts are kept small.
constexpr std::size_t partBytes = 6'000;
// Enough for the largest row that the platform's store takes, 64 KiB, also if it can't be compressed.
constexpr std::size_t mostParts = 12;
constexpr std::size_t mostIncompleteDocuments = 4;
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

DividedDocument divideDocument(const std::string &document)
{
    const std::string bytes = compress(document);
    DividedDocument divided;
    divided.id = stableHash(bytes);
    if (document.size() >= mostDocumentBytes || bytes.size() > partBytes * mostParts) {
        return divided;
    }
    for (std::size_t begin = 0; begin < bytes.size(); begin += partBytes) {
        divided.parts.push_back(bytes.substr(begin, partBytes));
    }
    return divided;
}

std::optional<std::string> DocumentParts::add(std::uint64_t id, std::size_t number, std::size_t count, std::string part)
{
    if (count > mostParts || number >= count) {
        return std::nullopt;
    }
    Document &document = find(id, count);
    document.parts[number] = std::move(part);
    std::string bytes;
    for (const std::optional<std::string> &known : document.parts) {
        if (!known) {
            return std::nullopt;
        }
        bytes += *known;
    }
    std::erase_if(m_documents, [id](const Document &known) {
        return known.id == id;
    });
    std::optional<std::string> whole = decompress(bytes);
    m_lostDocuments += whole ? 0 : 1;
    m_completed.push_back(id);
    if (m_completed.size() > mostIncompleteDocuments) {
        m_completed.pop_front();
    }
    return whole;
}

DocumentParts::Document &DocumentParts::find(std::uint64_t id, std::size_t count)
{
    const auto known = std::find_if(m_documents.begin(), m_documents.end(), [id](const Document &document) {
        return document.id == id;
    });
    if (known != m_documents.end() && known->parts.size() == count) {
        return *known;
    }
    if (known != m_documents.end()) {
        discard(*known);
        m_documents.erase(known);
    } else if (m_documents.size() == mostIncompleteDocuments) {
        discard(m_documents.front());
        m_documents.pop_front();
    }
    m_documents.push_back({ id, std::vector<std::optional<std::string>>(count) });
    return m_documents.back();
}

void DocumentParts::discard(const Document &document)
{
    const bool isRepeated = std::find(m_completed.begin(), m_completed.end(), document.id) != m_completed.end();
    m_lostDocuments += isRepeated ? 0 : 1;
}

} // namespace Sapphire
