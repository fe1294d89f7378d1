#pragma once

#include "document/YamlValue.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Tarragon {

/// Reads the keys of a YAML mapping. Reports a value that is not a mapping, duplicate keys, missing
/// keys and, in finish(), keys that nobody asked for.
class MappingReader
{
public:
    explicit MappingReader(const YamlValue &value);

    bool isMapping() const { return m_isMapping; }
    /// All keys with their values, in order; a duplicate key is left out.
    std::vector<std::pair<std::string, YamlValue>> entries() const;
    /// The value of a key that may be absent.
    std::optional<YamlValue> find(const std::string &key);
    /// The value of a key that must be there.
    std::optional<YamlValue> require(const std::string &key, const std::string &expected);
    /// Reports the keys that were never asked for.
    void finish() const;

    /// Reads a scalar that must be there; the output stays as it is after a finding.
    template<typename T, typename Format>
    bool require(const std::string &key, T &out, const Format &format)
    {
        const std::optional<YamlValue> value = require(key, format.expected());
        return value && assign(*value, out, format);
    }

    /// Reads a scalar that may be absent; the output then keeps its default.
    template<typename T, typename Format>
    bool optional(const std::string &key, T &out, const Format &format)
    {
        const std::optional<YamlValue> value = find(key);
        return value && assign(*value, out, format);
    }

private:
    struct Entry
    {
        std::string key;
        YamlValue value;
        int keyLine = 0;
        bool isUsed = false;
    };

    template<typename T, typename Format>
    static bool assign(const YamlValue &value, T &out, const Format &format)
    {
        auto result = value.read(format);
        if (result) {
            out = std::move(*result);
        }
        return result.has_value();
    }

    YamlValue m_value;
    bool m_isMapping = false;
    std::vector<Entry> m_entries;
    std::vector<std::string> m_knownKeys;
};

/// The full key of a mapping's key.
std::string joinKey(const std::string &mapping, const std::string &key);

} // namespace Tarragon
