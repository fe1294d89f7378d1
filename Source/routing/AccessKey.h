#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace Tarragon {

/// Key that authenticates a workspace's requests. It is a secret: unlike other ids it cannot be
/// written to a stream or a log line.
class AccessKey
{
public:
    explicit AccessKey(std::string value)
        : m_value(std::move(value))
    {}

    bool isEmpty() const { return m_value.empty(); }

    friend bool operator==(const AccessKey &, const AccessKey &) = default;

private:
    friend struct std::hash<AccessKey>;

    std::string m_value;
};

} // namespace Tarragon

template<>
struct std::hash<Tarragon::AccessKey>
{
    std::size_t operator()(const Tarragon::AccessKey &key) const noexcept
    {
        return std::hash<std::string>()(key.m_value);
    }
};
