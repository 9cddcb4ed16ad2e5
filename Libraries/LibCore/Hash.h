#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Sapphire {

/// Returns the SHA-256 digest as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

/// Returns a well-mixed 64-bit hash that is the same on every machine. Not for secrets.
std::uint64_t stableHash(std::string_view text);

/// Returns the rank of a candidate for a key in rendezvous hashing; the highest wins.
std::uint64_t rendezvousRank(std::string_view key, std::string_view candidate);
/// The same, from the stableHash() of both.
std::uint64_t rendezvousRank(std::uint64_t keyHash, std::uint64_t candidateHash);

/// Turns a candidate's rank into a score for weighted rendezvous hashing: the candidate has the highest score with a
/// probability in proportion to its weight, which must be positive.
double weightedRank(std::uint64_t rank, double weight);

/// Compares two texts in a time that depends on their lengths only, not on their content.
bool constantTimeEquals(std::string_view left, std::string_view right);

} // namespace Sapphire
