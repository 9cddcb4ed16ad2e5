#pragma once

#include <LibCore/Deadline.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Sapphire {

/// Compresses a document and divides it into parts that fit into a datagram each. Returns nothing if it is too large to
/// be told; other VMs then read it at the platform.
std::vector<std::string> divideDocument(const std::string &document);

/// Puts a document together from its parts, which arrive in any order or not at all.
class DocumentParts
{
public:
    /// Takes part `number` of `count` of the document with this digest. Returns the document once it is complete.
    /// Parts of another document drop those so far.
    std::optional<std::string> add(std::uint64_t digest, std::size_t number, std::size_t count, std::string part);

private:
    std::uint64_t m_digest { 0 };
    std::vector<std::optional<std::string>> m_parts;
};

} // namespace Sapphire
