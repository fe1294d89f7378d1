#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Tarragon {

/// Header fields of an HTTP message, in order. Names compare without regard to case.
class HttpHeaders
{
public:
    using Field = std::pair<std::string, std::string>;

    /// Adds a field behind those that are there.
    void add(std::string name, std::string value);
    /// Replaces all fields of the name by one.
    void set(std::string name, std::string value);
    /// Removes all fields of the name.
    void remove(std::string_view name);
    /// Value of the first field of the name.
    std::optional<std::string> find(std::string_view name) const;
    const std::vector<Field> &fields() const { return m_fields; }

private:
    std::vector<Field> m_fields;
};

} // namespace Tarragon
