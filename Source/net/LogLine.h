#pragma once

#include "base/StrongId.h"
#include "base/StrongNumber.h"
#include "base/Units.h"

#include <concepts>
#include <string>
#include <string_view>

namespace Tarragon {

/// One event of the structured log: "component: event=NAME key=value ...". Values with spaces,
/// quotes, equals signs or control characters are quoted and escaped, so that a value received from
/// a peer cannot forge a line or a key.
class LogLine
{
public:
    LogLine(std::string_view component, std::string_view event);

    LogLine &add(std::string_view key, std::string_view value);
    LogLine &add(std::string_view key, const char *value)
    {
        return add(key, std::string_view(value));
    }
    LogLine &add(std::string_view key, bool value);
    template<std::integral Number>
    LogLine &add(std::string_view key, Number value)
    {
        return addPlain(key, std::to_string(value));
    }
    template<typename Tag>
    LogLine &add(std::string_view key, const StrongId<Tag> &id)
    {
        return add(key, std::string_view(id.value()));
    }
    template<typename Tag>
    LogLine &add(std::string_view key, const StrongNumber<Tag> &number)
    {
        return addPlain(key, std::to_string(number.value()));
    }
    /// Adds a duration in milliseconds with one decimal; the key should end in "Ms".
    LogLine &add(std::string_view key, microseconds duration);

    /// Adds a rate in requests per second with up to three decimals.
    LogLine &add(std::string_view key, RequestRate rate);

    const std::string &text() const { return m_text; }

private:
    LogLine &addPlain(std::string_view key, std::string_view value);

    std::string m_text;
};

} // namespace Tarragon
