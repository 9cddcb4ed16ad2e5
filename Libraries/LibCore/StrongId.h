#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Sapphire {

/// A string identifier with a type of its own, so that identifiers of different things can't be mixed up.
template<typename Tag>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(std::string value) : m_value(std::move(value))
    {
    }

    const std::string &text() const
    {
        return m_value;
    }
    bool isEmpty() const
    {
        return m_value.empty();
    }

    // clang-tidy takes the 0 of the rewritten comparisons for a null pointer.
    friend auto operator<=>(const StrongId &, const StrongId &) = default; // NOLINT(modernize-use-nullptr)
    friend std::ostream &operator<<(std::ostream &stream, const StrongId &id)
    {
        return stream << id.m_value;
    }

private:
    std::string m_value;
};

/// A number with a type of its own, so that different quantities can't be mixed up.
template<typename Tag, typename Number = std::uint64_t>
class StrongNumber
{
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(Number value) : m_value(value)
    {
    }

    constexpr Number value() const
    {
        return m_value;
    }
    constexpr StrongNumber next() const
    {
        return StrongNumber(m_value + 1);
    }

    // NOLINTNEXTLINE(modernize-use-nullptr): as in StrongId.
    friend constexpr auto operator<=>(const StrongNumber &, const StrongNumber &) = default;
    friend constexpr StrongNumber operator+(StrongNumber left, StrongNumber right)
    {
        return StrongNumber(left.m_value + right.m_value);
    }
    friend constexpr StrongNumber operator-(StrongNumber left, StrongNumber right)
    {
        return StrongNumber(left.m_value - right.m_value);
    }
    friend std::ostream &operator<<(std::ostream &stream, const StrongNumber &number)
    {
        return stream << number.m_value;
    }

private:
    Number m_value {};
};

} // namespace Sapphire

template<typename Tag>
struct std::hash<Sapphire::StrongId<Tag>>
{
    std::size_t operator()(const Sapphire::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string> {}(id.text());
    }
};

template<typename Tag, typename Number>
struct std::hash<Sapphire::StrongNumber<Tag, Number>>
{
    std::size_t operator()(const Sapphire::StrongNumber<Tag, Number> &number) const noexcept
    {
        return std::hash<Number> {}(number.value());
    }
};
