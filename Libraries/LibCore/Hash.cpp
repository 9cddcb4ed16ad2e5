#include <LibCore/Hash.h>

#include <Poco/SHA2Engine.h>

#include <openssl/crypto.h>

#include <algorithm>
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
    // Unlike OpenSSL's, which finds its algorithms at run time, this engine can't fail. A caller would have no use for
    // a failure: a key without its hash is neither valid nor invalid.
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(text.data(), text.size());
    return Poco::SHA2Engine::digestToHex(engine.digest());
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
