#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Tarragon {

/// A textual identifier. Identifiers with different tags are different types that do not convert
/// into each other, so that the compiler finds mix-ups.
template<typename Tag>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {}

    const std::string &value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }

    friend auto operator<=>(const StrongId &, const StrongId &) = default;
    friend std::ostream &operator<<(std::ostream &out, const StrongId &id)
    {
        return out << id.m_value;
    }

private:
    std::string m_value;
};

} // namespace Tarragon

template<typename Tag>
struct std::hash<Tarragon::StrongId<Tag>>
{
    std::size_t operator()(const Tarragon::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
