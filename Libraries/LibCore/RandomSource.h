#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace Sapphire {

/// A seeded pseudo-random generator. Not for secrets, and not thread-safe.
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed) : m_engine(seed)
    {
    }

    /// Returns a generator seeded by the system.
    static RandomSource seededBySystem()
    {
        std::random_device device;
        return RandomSource((std::uint64_t { device() } << 32U) | device());
    }

    std::uint64_t next()
    {
        return m_engine();
    }
    /// Returns a number in [0, bound); the bound must be positive.
    std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
    }
    /// Returns a number in [0, 1).
    double unit()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine);
    }
    /// Returns the given number of lower-case hexadecimal digits.
    std::string hexDigits(std::size_t count)
    {
        static constexpr char digits[] = "0123456789abcdef";
        std::string text;
        for (std::size_t i = 0; i < count; ++i) {
            text += digits[below(16)];
        }
        return text;
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace Sapphire
