#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Tarragon {

/// Header fields of an HTTP message in their order. Names are compared case-insensitively.
class HttpHeaders
{
public:
    using Field = std::pair<std::string, std::string>;

    /// Appends a field.
    void add(std::string name, std::string value);
    /// Replaces all fields with the name by one field.
    void set(std::string name, std::string value);
    /// Removes all fields with the name.
    void remove(std::string_view name);
    /// Returns the value of the first field with the name, or nothing if there is none.
    std::optional<std::string> find(std::string_view name) const;
    const std::vector<Field> &fields() const { return m_fields; }

private:
    std::vector<Field> m_fields;
};

} // namespace Tarragon
