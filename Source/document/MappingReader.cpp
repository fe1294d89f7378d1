#include "document/MappingReader.h"

#include <algorithm>
#include <set>

namespace Tarragon {

std::string joinKey(const std::string &mapping, const std::string &key)
{
    return mapping.empty() ? key : mapping + "." + key;
}

MappingReader::MappingReader(const YamlValue &value)
    : m_value(value)
    , m_isMapping(value.node().IsMap())
{
    if (!m_isMapping) {
        value.report("a mapping");
        return;
    }
    std::set<std::string> keys;
    for (const auto &it : value.node()) {
        const int keyLine = it.first.Mark().line + 1;
        if (!it.first.IsScalar()) {
            value.context().report(keyLine, value.key(), "a key that is no text", "a text key");
            continue;
        }
        const std::string &key = it.first.Scalar();
        const std::string path = joinKey(value.key(), key);
        if (!keys.insert(key).second) {
            value.context().report(keyLine, path, "the key a second time", "each key once");
            continue;
        }
        // Findings about a mapping or list name the line of its key, those about a scalar its own
        // line.
        const int line = it.second.IsScalar() ? it.second.Mark().line + 1 : keyLine;
        m_entries.push_back({ key, YamlValue(it.second, line, path, value.context()), keyLine });
    }
}

std::vector<std::pair<std::string, YamlValue>> MappingReader::entries() const
{
    std::vector<std::pair<std::string, YamlValue>> result;
    result.reserve(m_entries.size());
    for (const Entry &it : m_entries) {
        result.emplace_back(it.key, it.value);
    }
    return result;
}

std::optional<YamlValue> MappingReader::find(const std::string &key)
{
    m_knownKeys.push_back(key);
    const auto it = std::find_if(m_entries.begin(), m_entries.end(),
                                 [&](const Entry &entry) { return entry.key == key; });
    if (it == m_entries.end()) {
        return std::nullopt;
    }
    it->isUsed = true;
    return it->value;
}

std::optional<YamlValue> MappingReader::require(const std::string &key, const std::string &expected)
{
    std::optional<YamlValue> value = find(key);
    if (!value && m_isMapping) {
        m_value.context().report(m_value.line(), joinKey(m_value.key(), key), "nothing", expected);
    }
    return value;
}

void MappingReader::finish() const
{
    std::string expected = "one of";
    for (const std::string &it : m_knownKeys) {
        expected += (expected == "one of" ? " " : ", ") + it;
    }
    for (const Entry &it : m_entries) {
        if (!it.isUsed) {
            m_value.context().report(it.keyLine, it.value.key(),
                                     "the unknown key " + quotedText(it.key), expected);
        }
    }
}

} // namespace Tarragon
