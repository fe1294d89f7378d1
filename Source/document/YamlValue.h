#pragma once

#include "document/Finding.h"

#include <yaml-cpp/yaml.h>

#include <optional>
#include <string>
#include <type_traits>
#include <vector>

namespace Tarragon {

/// Collects the findings of one text. Must outlive the values that refer to it.
struct FindingContext
{
    /// Section of the document; empty for settings files.
    std::string section;
    Findings *findings = nullptr;

    void report(int line, std::string key, std::string found, std::string expected) const;
};

/// One value of a YAML text with its line and full key. The read functions report a value that is
/// not in the expected form as a finding and return nothing.
class YamlValue
{
public:
    YamlValue(const YAML::Node &node, int line, std::string key, const FindingContext &context);

    bool isNull() const { return m_node.IsNull(); }
    const YAML::Node &node() const { return m_node; }
    int line() const { return m_line; }
    const std::string &key() const { return m_key; }
    const FindingContext &context() const { return *m_context; }

    /// Describes the value for the "found" part of a finding.
    std::string found() const;
    /// Adds a finding about this value.
    void report(const std::string &expected) const;
    /// Returns the items of a sequence. Reports any other value and returns an empty list for it.
    std::vector<YamlValue> items(const std::string &expected) const;

    /// Reads a scalar with one of the formats of ValueFormats.h.
    template<typename Format>
    auto read(const Format &format) const -> std::invoke_result_t<Format, const std::string &>
    {
        if (m_node.IsScalar()) {
            if (auto value = format(m_node.Scalar())) {
                return value;
            }
        }
        report(format.expected());
        return std::nullopt;
    }

private:
    YAML::Node m_node;
    int m_line = 0;
    std::string m_key;
    const FindingContext *m_context = nullptr;
};

/// Returns the text in double quotes; a text of more than 80 bytes is truncated.
std::string quotedText(const std::string &text);

/// Loads a text that must contain one YAML document without document markers or directives. Reports
/// anything else as a finding and returns nothing. An empty text results in a null value.
std::optional<YamlValue> loadYaml(const std::string &text, const FindingContext &context);

} // namespace Tarragon
