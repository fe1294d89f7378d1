#include "document/StopsEdit.h"

#include "base/Error.h"
#include "document/StopsParser.h"
#include "document/ValueFormats.h"
#include "document/YamlValue.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>
#include <vector>

namespace Tarragon {

namespace {

using Lines = std::vector<std::string>;

Lines splitLines(const std::string &text)
{
    Lines lines;
    std::istringstream in(text);
    std::string line;
    while (std::getline(in, line)) {
        lines.push_back(line);
    }
    return lines;
}

std::string joinLines(const Lines &lines)
{
    std::string text;
    for (const std::string &it : lines) {
        text += it + "\n";
    }
    return text;
}

/// Returns the first character of the line that is not whitespace; 0 if there is none.
char firstCharacter(const std::string &line)
{
    const std::size_t n = line.find_first_not_of(" \t\r");
    return n == std::string::npos ? '\0' : line[n];
}

bool isCommentOrBlank(const std::string &line)
{
    const char c = firstCharacter(line);
    return c == '#' || c == '\0';
}

std::vector<PlannedStop> readStops(const std::string &text)
{
    Findings findings;
    const FindingContext context{ "stops", &findings };
    std::vector<PlannedStop> stops;
    if (const std::optional<YamlValue> value = loadYaml(text, context)) {
        stops = parseStops(*value, {});
    }
    if (!findings.empty()) {
        throw Error(toString(findings.front()));
    }
    return stops;
}

/// Returns the stop as one item of a YAML list. Strings are written as JSON, which is valid YAML.
std::string formatStop(const PlannedStop &stop)
{
    std::string text = "- { kind: " + toString(stop.kind)
                       + ", id: " + nlohmann::json(stop.id).dump()
                       + ", deadline: " + formatDuration(stop.deadline);
    if (!stop.reason.empty()) {
        text += ", reason: " + nlohmann::json(stop.reason).dump();
    }
    return text + " }";
}

/// Returns a new text of the section: the comments of the old text, then one line for each stop.
std::string rewriteStops(const Lines &lines, const std::vector<PlannedStop> &stops)
{
    Lines result;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(result),
                 [](const std::string &it) { return firstCharacter(it) == '#'; });
    for (const PlannedStop &it : stops) {
        result.push_back(formatStop(it));
    }
    if (stops.empty()) {
        result.emplace_back("[]");
    }
    return joinLines(result);
}

/// Returns the edited lines if they parse to exactly the wanted stops, otherwise a new text with
/// these stops. Editing lines works only for a block list with one item below the other, which is
/// the usual form.
std::string editedOrRewritten(const Lines &edited, const Lines &original,
                              const std::vector<PlannedStop> &wanted)
{
    try {
        std::string text = joinLines(edited);
        if (!wanted.empty() && readStops(text) == wanted) {
            return text;
        }
    } catch (const Error &) {
        // The edited lines are not valid, as the list is not a block list: write a new text.
    }
    return rewriteStops(original, wanted);
}

/// Returns the line of each item's dash, counted from 0.
std::vector<std::size_t> dashLines(const std::string &text, const Lines &lines)
{
    std::vector<std::size_t> result;
    for (const YAML::Node &it : YAML::Load(text)) {
        std::size_t line = std::size_t(it.Mark().line);
        while (line > 0 && firstCharacter(lines[line]) != '-') {
            --line;
        }
        result.push_back(line);
    }
    return result;
}

} // namespace

std::string withStop(const std::string &text, const PlannedStop &stop)
{
    const std::string rest = withoutStop(text, stop.kind, stop.id).value_or(text);
    std::vector<PlannedStop> wanted = readStops(rest);
    wanted.push_back(stop);
    const Lines lines = splitLines(rest);
    Lines edited = lines;
    const auto dash = std::find_if(lines.begin(), lines.end(),
                                   [](const std::string &it) { return firstCharacter(it) == '-'; });
    const std::size_t indent = dash == lines.end() ? 0 : dash->find('-');
    edited.push_back(std::string(indent, ' ') + formatStop(stop));
    return editedOrRewritten(edited, lines, wanted);
}

std::optional<std::string> withoutStop(const std::string &text, StopKind kind,
                                       const std::string &id)
{
    std::vector<PlannedStop> wanted = readStops(text);
    const auto it = std::find_if(wanted.begin(), wanted.end(), [&](const PlannedStop &stop) {
        return stop.kind == kind && stop.id == id;
    });
    if (it == wanted.end()) {
        return std::nullopt;
    }
    const std::size_t index = std::size_t(it - wanted.begin());
    wanted.erase(it);
    const Lines lines = splitLines(text);
    const std::vector<std::size_t> starts = dashLines(text, lines);
    const std::size_t start = starts[index];
    std::size_t end = index + 1 < starts.size() ? starts[index + 1] : lines.size();
    // Comments directly above the next item belong to that item and are kept.
    while (end > start + 1 && isCommentOrBlank(lines[end - 1])) {
        --end;
    }
    Lines edited(lines.begin(), lines.begin() + std::ptrdiff_t(start));
    edited.insert(edited.end(), lines.begin() + std::ptrdiff_t(std::max(end, start)), lines.end());
    return editedOrRewritten(edited, lines, wanted);
}

} // namespace Tarragon
