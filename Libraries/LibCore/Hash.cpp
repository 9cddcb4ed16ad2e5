#include <LibCore/Hash.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace Sapphire {

namespace {

// FNV-1a constants for 64 bits.
constexpr std::uint64_t fnvOffsetBasis = 14695981039346656037ULL;
constexpr std::uint64_t fnvPrime = 1099511628211ULL;

// Finalizer of MurmurHash3; FNV-1a alone leaves the high bits of short texts poorly mixed.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return value;
}

} // namespace

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(std::size_t { length } * 2);
    for (unsigned int i = 0; i < length; ++i) {
        hex += digits[digest[i] >> 4U];
        hex += digits[digest[i] & 0x0fU];
    }
    return hex;
}

std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = fnvOffsetBasis;
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= fnvPrime;
    }
    return mix(hash);
}

std::uint64_t rendezvousRank(std::string_view key, std::string_view candidate)
{
    return rendezvousRank(stableHash(key), stableHash(candidate));
}

std::uint64_t rendezvousRank(std::uint64_t keyHash, std::uint64_t candidateHash)
{
    return mix(keyHash ^ (candidateHash * fnvPrime));
}

double weightedRank(std::uint64_t rank, double weight)
{
    // Weighted rendezvous hashing: -weight / ln(u) for u uniformly distributed over (0, 1).
    constexpr double span = 18446744073709551616.0;
    const double unit = (static_cast<double>(rank) + 0.5) / span;
    return -weight / std::log(std::min(unit, 1 - 1e-12));
}

bool constantTimeEquals(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace Sapphire
