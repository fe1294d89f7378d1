#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>

namespace Tarragon {

/// An unsigned number with a meaning of its own, such as a version. Numbers with different tags are
/// different types that do not convert into each other.
template<typename Tag>
class StrongNumber
{
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(std::uint64_t value)
        : m_value(value)
    {}

    constexpr std::uint64_t value() const { return m_value; }
    constexpr StrongNumber next() const { return StrongNumber(m_value + 1); }

    friend constexpr auto operator<=>(const StrongNumber &, const StrongNumber &) = default;
    friend std::ostream &operator<<(std::ostream &out, const StrongNumber &number)
    {
        return out << number.m_value;
    }

private:
    std::uint64_t m_value = 0;
};

} // namespace Tarragon

template<typename Tag>
struct std::hash<Tarragon::StrongNumber<Tag>>
{
    std::size_t operator()(const Tarragon::StrongNumber<Tag> &number) const noexcept
    {
        return std::hash<std::uint64_t>()(number.value());
    }
};
