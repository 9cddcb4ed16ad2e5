#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Sapphire {

/// A compressed document, divided into parts that each fit into a datagram.
struct DividedDocument
{
    std::uint64_t id { 0 }; ///< Hash of the compressed document.
    std::vector<std::string> parts; ///< None if the document is too large; other VMs then read it from the platform.
};

DividedDocument divideDocument(const std::string &document);

/// Reassembles documents from their parts, which may arrive in any order or get lost. The parts of several documents
/// may arrive by turns, since several VMs may send different ones at the same time.
class DocumentParts
{
public:
    /// Adds part `number` (from 0) of `count` of the document with this id. Returns the document once it is complete. A
    /// part of a new document discards the oldest incomplete one if there are too many.
    std::optional<std::string> add(std::uint64_t id, std::size_t number, std::size_t count, std::string part);
    /// Returns how many documents were given up before all of their parts had arrived, or could not be read.
    std::uint64_t lostDocuments() const
    {
        return m_lostDocuments;
    }

private:
    struct Document
    {
        std::uint64_t id { 0 };
        std::vector<std::optional<std::string>> parts;
    };

    Document &find(std::uint64_t id, std::size_t count);
    void discard(const Document &document);

    std::deque<Document> m_documents; ///< Incomplete ones, the oldest first.
    std::deque<std::uint64_t> m_completed; ///< Ids of the last complete ones, of which repeated parts may arrive.
    std::uint64_t m_lostDocuments { 0 };
};

} // namespace Sapphire
