#pragma once

#include <LibCore/Deadline.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Sapphire {

/// Compresses a document and divides it into parts that each fit into a datagram. Returns no parts if the document is
/// too large to be broadcast; other VMs then read it from the platform.
std::vector<std::string> divideDocument(const std::string &document);

/// Reassembles a document from its parts, which may arrive in any order or get lost.
class DocumentParts
{
public:
    /// Adds part `number` (from 0) of `count` of the document with this digest. Returns the document once it is
    /// complete. A part of another document discards the parts collected so far.
    std::optional<std::string> add(std::uint64_t digest, std::size_t number, std::size_t count, std::string part);
    /// Returns how many documents were given up before all of their parts had arrived, or could not be read.
    std::uint64_t lostDocuments() const
    {
        return m_lostDocuments;
    }

private:
    std::uint64_t m_digest { 0 };
    std::vector<std::optional<std::string>> m_parts;
    std::uint64_t m_lostDocuments { 0 };
};

} // namespace Sapphire
