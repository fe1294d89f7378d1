#include "document/YamlValue.h"

#include "document/TrailingTextFinder.h"

#include <nlohmann/json.hpp>

#include <sstream>
#include <utility>

namespace Tarragon {

namespace {

bool isUtf8(const std::string &text)
{
    try {
        const std::string dumped = nlohmann::json(text).dump();
        return !dumped.empty();
    } catch (const nlohmann::json::type_error &) {
        return false;
    }
}

/// Whether the line is a document start or end marker or a directive. In the text of a section,
/// such a line would split the document that joinDocument() builds from the sections.
bool isDocumentMarker(const std::string &line)
{
    const bool isMarker = line.starts_with("---") || line.starts_with("...");
    const bool isWhole =
            line.size() == 3 || (line.size() > 3 && (line[3] == ' ' || line[3] == '\r'));
    return (isMarker && isWhole) || line.starts_with("%");
}

bool reportBadLines(const std::string &text, const FindingContext &context)
{
    bool found = false;
    std::istringstream in(text);
    std::string line;
    for (int n = 1; std::getline(in, line); ++n) {
        if (!isUtf8(line) || line.find('\0') != std::string::npos) {
            context.report(n, "", "bytes that are not UTF-8 text", "UTF-8 text");
            found = true;
        } else if (isDocumentMarker(line)) {
            context.report(n, "", quotedText(line),
                           "one YAML document without document markers or directives");
            found = true;
        }
    }
    return found;
}

} // namespace

void FindingContext::report(int line, std::string key, std::string found,
                            std::string expected) const
{
    findings->push_back(
            { "", section, line, std::move(key), std::move(found), std::move(expected) });
}

YamlValue::YamlValue(const YAML::Node &node, int line, std::string key,
                     const FindingContext &context)
    : m_node(node)
    , m_line(line)
    , m_key(std::move(key))
    , m_context(&context)
{}

std::string YamlValue::found() const
{
    switch (m_node.Type()) {
    case YAML::NodeType::Scalar:
        return quotedText(m_node.Scalar());
    case YAML::NodeType::Sequence:
        return "a list";
    case YAML::NodeType::Map:
        return "a mapping";
    case YAML::NodeType::Null:
    case YAML::NodeType::Undefined:
        break;
    }
    return "nothing";
}

void YamlValue::report(const std::string &expected) const
{
    m_context->report(m_line, m_key, found(), expected);
}

std::vector<YamlValue> YamlValue::items(const std::string &expected) const
{
    std::vector<YamlValue> values;
    if (!m_node.IsSequence()) {
        report(expected);
        return values;
    }
    for (const YAML::Node &it : m_node) {
        const int line = it.IsNull() ? m_line : it.Mark().line + 1;
        values.emplace_back(it, line, m_key + "[" + std::to_string(values.size()) + "]",
                            *m_context);
    }
    return values;
}

std::string quotedText(const std::string &text)
{
    static constexpr std::size_t MaxLength = 80;
    const std::string start = text.size() > MaxLength ? text.substr(0, MaxLength) + "..." : text;
    // JSON escapes line breaks, so the finding stays on one line. The truncation may split a UTF-8
    // sequence; the bytes that remain of it are replaced.
    return nlohmann::json(start).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<YamlValue> loadYaml(const std::string &text, const FindingContext &context)
{
    if (reportBadLines(text, context)) {
        return std::nullopt;
    }
    try {
        // At a line with less indentation than the first, the library starts a second document even
        // without a marker; YAML::Load() would ignore that text.
        if (const std::optional<int> line = TrailingTextFinder::find(text)) {
            context.report(*line, "", "text after the end of the mapping or list above it",
                           "one YAML document with consistent indentation");
            return std::nullopt;
        }
        const YAML::Node node = YAML::Load(text);
        const int line = node.IsNull() ? 1 : node.Mark().line + 1;
        return YamlValue(node, line, "", context);
    } catch (const YAML::Exception &e) {
        context.report(e.mark.line + 1, "", "text that is not YAML (" + e.msg + ")", "YAML");
        return std::nullopt;
    }
}

} // namespace Tarragon
