#include "document/SectionTexts.h"

#include "document/MappingReader.h"
#include "document/ValueFormats.h"
#include "document/YamlValue.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace Tarragon {

namespace {

constexpr std::string_view ServicePrefix = "services.";
constexpr std::array<const char *, 5> TopLevelKeys = { "access", "topology", "services", "shifts",
                                                       "stops" };
constexpr std::size_t IndentWidth = 2;

std::vector<std::string> splitLines(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream in(text);
    std::string line;
    while (std::getline(in, line)) {
        lines.push_back(line);
    }
    return lines;
}

std::size_t indentOf(const std::string &line)
{
    return std::min(line.find_first_not_of(' '), line.size());
}

bool isBlank(const std::string &line)
{
    return line.find_first_not_of(" \t\r") == std::string::npos;
}

bool isCommentOrBlank(const std::string &line)
{
    return isBlank(line) || line[indentOf(line)] == '#';
}

/// A key of a block mapping and the lines that belong to it. Lines count from 0.
struct KeyBlock
{
    std::string key;
    /// First line of the comments above the key.
    std::size_t commentLine = 0;
    std::size_t keyLine = 0;
    /// Column after the key's colon.
    std::size_t valueColumn = 0;
    /// Line after the last line of the value.
    std::size_t endLine = 0;
};

/// Splits the lines of a block mapping, from firstLine up to endLine, into one block for each key.
std::vector<KeyBlock> splitBlocks(const YAML::Node &mapping, const std::vector<std::string> &lines,
                                  std::size_t firstLine, std::size_t endLine)
{
    std::vector<KeyBlock> blocks;
    for (const auto &it : mapping) {
        KeyBlock block;
        block.key = it.first.IsScalar() ? it.first.Scalar() : "";
        block.keyLine = std::size_t(it.first.Mark().line);
        if (block.keyLine >= lines.size()) {
            continue;
        }
        const std::size_t column = std::size_t(it.first.Mark().column);
        block.valueColumn = std::min(lines[block.keyLine].find(':', column + block.key.size()),
                                     lines[block.keyLine].size() - 1)
                            + 1;
        block.commentLine = block.keyLine;
        // A comment indented no deeper than the next key belongs to that key, any other comment to
        // the value above.
        while (block.commentLine > firstLine && isCommentOrBlank(lines[block.commentLine - 1])
               && (isBlank(lines[block.commentLine - 1])
                   || indentOf(lines[block.commentLine - 1]) <= column)) {
            --block.commentLine;
        }
        while (block.commentLine < block.keyLine && isBlank(lines[block.commentLine])) {
            ++block.commentLine;
        }
        blocks.push_back(block);
        firstLine = block.keyLine + 1;
    }
    for (std::size_t i = 0; i < blocks.size(); ++i) {
        blocks[i].endLine = i + 1 < blocks.size() ? blocks[i + 1].commentLine : endLine;
        while (blocks[i].endLine > blocks[i].keyLine + 1 && isBlank(lines[blocks[i].endLine - 1])) {
            --blocks[i].endLine;
        }
    }
    return blocks;
}

/// Finds the keys of a block mapping by their indentation alone: a line of the given column with a
/// colon. Used for text that is not valid YAML.
std::vector<KeyBlock> findBlocksByIndentation(const std::vector<std::string> &lines,
                                              std::size_t firstLine, std::size_t endLine,
                                              std::size_t column)
{
    std::vector<KeyBlock> blocks;
    for (std::size_t i = firstLine; i < endLine; ++i) {
        const std::size_t colon = lines[i].find(':');
        if (isCommentOrBlank(lines[i]) || indentOf(lines[i]) != column
            || colon == std::string::npos) {
            continue;
        }
        if (!blocks.empty()) {
            blocks.back().endLine = i;
        }
        blocks.push_back({ lines[i].substr(column, colon - column), i, i, colon + 1, endLine });
    }
    return blocks;
}

/// Appends a line to the text and its line number in the file to the origin.
void appendLine(std::string &text, SectionOrigin &origin, const std::string &line,
                std::size_t index)
{
    text += line + "\n";
    origin.lines.push_back(int(index) + 1);
}

/// Returns the text of a block's value without its key and its common indentation.
std::string extractText(const std::vector<std::string> &lines, const KeyBlock &block,
                        SectionOrigin &origin)
{
    std::string text;
    for (std::size_t i = block.commentLine; i < block.keyLine; ++i) {
        appendLine(text, origin, lines[i].substr(indentOf(lines[i])), i);
    }
    const std::string rest = lines[block.keyLine].substr(block.valueColumn);
    if (!isBlank(rest)) {
        appendLine(text, origin, rest.substr(indentOf(rest)), block.keyLine);
    }
    std::size_t indent = std::string::npos;
    for (std::size_t i = block.keyLine + 1; i < block.endLine; ++i) {
        if (!isCommentOrBlank(lines[i])) {
            indent = std::min(indent, indentOf(lines[i]));
        }
    }
    for (std::size_t i = block.keyLine + 1; i < block.endLine; ++i) {
        appendLine(text, origin, lines[i].substr(std::min(indent, indentOf(lines[i]))), i);
    }
    return text;
}

/// Extracts the texts of the sections from a document.
class DocumentSplitter
{
public:
    DocumentSplitter(const std::string &text, const std::string &file)
        : m_lines(splitLines(text))
        , m_file(file)
    {}

    /// Extracts the sections of a parsed document. Faults are added to the findings of its context.
    void split(const YamlValue &document);
    /// Extracts the sections of a text that is not valid YAML, by the indentation of their keys.
    void scan();

    SectionTexts texts;
    SectionOrigins origins;

private:
    void addSection(const SectionName &name, const KeyBlock &block);
    void splitServices(const YamlValue &value, const KeyBlock &block);

    std::vector<std::string> m_lines;
    std::string m_file;
};

void DocumentSplitter::addSection(const SectionName &name, const KeyBlock &block)
{
    SectionOrigin origin{ m_file, int(block.keyLine) + 1, {} };
    texts[name] = extractText(m_lines, block, origin);
    origins[name] = std::move(origin);
}

void DocumentSplitter::splitServices(const YamlValue &value, const KeyBlock &block)
{
    const MappingReader reader(value);
    if (!reader.isMapping()) {
        return;
    }
    for (const auto &[name, it] : reader.entries()) {
        const IdFormat<ServiceId> format{ false };
        if (!format(name)) {
            it.context().report(it.line(), it.key(), quotedText(name), format.expected());
        }
    }
    if (value.node().Style() == YAML::EmitterStyle::Flow) {
        value.report("one line for each service's key, without braces");
        return;
    }
    for (const KeyBlock &it :
         splitBlocks(value.node(), m_lines, block.keyLine + 1, block.endLine)) {
        if (isIdentifier(it.key, false)) {
            addSection(serviceSection(ServiceId(it.key)), it);
        }
    }
}

void DocumentSplitter::split(const YamlValue &document)
{
    MappingReader reader(document);
    if (!reader.isMapping()) {
        return;
    }
    std::map<std::string, YamlValue> values;
    for (const char *it : TopLevelKeys) {
        if (const std::optional<YamlValue> value = reader.find(it)) {
            values.emplace(it, *value);
        }
    }
    reader.finish();
    if (document.node().Style() == YAML::EmitterStyle::Flow) {
        document.report("one line for each section's key, without braces");
        return;
    }
    for (const KeyBlock &it : splitBlocks(document.node(), m_lines, 0, m_lines.size())) {
        const auto value = values.find(it.key);
        if (value == values.end()) {
            continue;
        }
        if (it.key == "services") {
            splitServices(value->second, it);
        } else {
            addSection(SectionName(it.key), it);
        }
    }
}

void DocumentSplitter::scan()
{
    for (const KeyBlock &it : findBlocksByIndentation(m_lines, 0, m_lines.size(), 0)) {
        if (it.key == "services") {
            std::size_t line = it.keyLine + 1;
            while (line < it.endLine && isCommentOrBlank(m_lines[line])) {
                ++line;
            }
            const std::size_t column = line < it.endLine ? indentOf(m_lines[line]) : 0;
            for (const KeyBlock &service :
                 findBlocksByIndentation(m_lines, line, it.endLine, column)) {
                if (isIdentifier(service.key, false)) {
                    addSection(serviceSection(ServiceId(service.key)), service);
                }
            }
        } else if (std::find(TopLevelKeys.begin(), TopLevelKeys.end(), it.key)
                   != TopLevelKeys.end()) {
            addSection(SectionName(it.key), it);
        }
    }
}

/// Returns the findings of those sections that are not valid YAML when parsed alone.
Findings findBrokenSections(const SectionTexts &texts, const SectionOrigins &origins)
{
    Findings findings;
    for (const auto &[name, text] : texts) {
        const FindingContext context{ name.value(), &findings };
        loadYaml(text, context);
    }
    locateFindings(findings, origins);
    return findings;
}

void appendIndented(std::string &out, const std::string &text, std::size_t indent)
{
    for (const std::string &it : splitLines(text)) {
        if (!isBlank(it)) {
            out.append(indent, ' ');
            out += it;
        }
        out += "\n";
    }
}

} // namespace

SectionName serviceSection(const ServiceId &service)
{
    return SectionName(std::string(ServicePrefix) + service.value());
}

std::optional<ServiceId> serviceOfSection(const SectionName &section)
{
    if (!section.value().starts_with(ServicePrefix)) {
        return std::nullopt;
    }
    return ServiceId(section.value().substr(ServicePrefix.size()));
}

SectionTexts splitDocument(const std::string &text, const std::string &file, Findings &findings,
                           SectionOrigins *origins)
{
    Findings own;
    const FindingContext context{ "", &own };
    DocumentSplitter splitter(text, file);
    if (const std::optional<YamlValue> document = loadYaml(text, context)) {
        splitter.split(*document);
    } else {
        // The YAML parser stops at the first fault. Parsing each section alone reports the faults
        // of all sections at once.
        splitter.scan();
        Findings broken = findBrokenSections(splitter.texts, splitter.origins);
        if (!broken.empty()) {
            own = std::move(broken);
        }
    }
    for (Finding &it : own) {
        it.file = file;
        findings.push_back(std::move(it));
    }
    if (origins) {
        origins->merge(splitter.origins);
    }
    return std::move(splitter.texts);
}

std::string joinDocument(const SectionTexts &sections)
{
    std::string document;
    for (const char *key : TopLevelKeys) {
        if (key == std::string_view("services")) {
            std::string services;
            for (const auto &[name, text] : sections) {
                if (const std::optional<ServiceId> service = serviceOfSection(name)) {
                    services.append(IndentWidth, ' ');
                    services += service->value() + ":\n";
                    appendIndented(services, text, 2 * IndentWidth);
                }
            }
            document += services.empty() ? "" : "services:\n" + services;
            continue;
        }
        const auto it = sections.find(SectionName(key));
        if (it != sections.end()) {
            document += std::string(key) + ":\n";
            appendIndented(document, it->second, IndentWidth);
        }
    }
    return document;
}

void locateFindings(Findings &findings, const SectionOrigins &origins)
{
    for (Finding &it : findings) {
        const auto origin = origins.find(SectionName(it.section));
        if (origin == origins.end() || !it.file.empty()) {
            continue;
        }
        const std::vector<int> &lines = origin->second.lines;
        it.file = origin->second.file;
        const std::size_t index = it.line > 0 ? std::size_t(it.line) - 1 : lines.size();
        it.line = index < lines.size() ? lines[index] : origin->second.keyLine;
    }
}

} // namespace Tarragon
