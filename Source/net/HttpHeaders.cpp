#include "net/HttpHeaders.h"

#include <algorithm>

#include <strings.h>

namespace Tarragon {

namespace {

bool sameName(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

void HttpHeaders::add(std::string name, std::string value)
{
    m_fields.emplace_back(std::move(name), std::move(value));
}

void HttpHeaders::set(std::string name, std::string value)
{
    remove(name);
    add(std::move(name), std::move(value));
}

void HttpHeaders::remove(std::string_view name)
{
    std::erase_if(m_fields, [name](const Field &field) { return sameName(field.first, name); });
}

std::optional<std::string> HttpHeaders::find(std::string_view name) const
{
    const auto it = std::find_if(m_fields.begin(), m_fields.end(), [name](const Field &field) {
        return sameName(field.first, name);
    });
    if (it == m_fields.end()) {
        return std::nullopt;
    }
    return it->second;
}

} // namespace Tarragon
