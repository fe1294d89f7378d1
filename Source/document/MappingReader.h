#pragma once

#include "document/YamlValue.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Tarragon {

/// Reads the keys of a YAML mapping. Reports a finding if the value is not a mapping, for duplicate
/// keys, for missing required keys and, in finish(), for unknown keys: those that were read neither
/// by find() nor by require() or optional().
class MappingReader
{
public:
    explicit MappingReader(const YamlValue &value);

    bool isMapping() const { return m_isMapping; }
    /// Returns all keys with their values, in order of the text. Of a duplicate key only the first
    /// is kept.
    std::vector<std::pair<std::string, YamlValue>> entries() const;
    /// Returns the value of an optional key.
    std::optional<YamlValue> find(const std::string &key);
    /// Returns the value of a required key. Reports a finding if the key is absent.
    std::optional<YamlValue> require(const std::string &key, const std::string &expected);
    /// Reports the unknown keys.
    void finish() const;

    /// Reads a required scalar. Returns whether it was read; otherwise reports a finding and leaves
    /// the output unchanged.
    template<typename T, typename Format>
    bool require(const std::string &key, T &out, const Format &format)
    {
        const std::optional<YamlValue> value = require(key, format.expected());
        return value && assign(*value, out, format);
    }

    /// Reads an optional scalar. Returns whether it was read; otherwise the output keeps its
    /// default. A value in the wrong format is reported.
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

/// Returns the full key of a key in a mapping, such as "delays.toClients".
std::string joinKey(const std::string &mapping, const std::string &key);

} // namespace Tarragon
