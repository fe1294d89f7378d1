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

/// First character of the line that is no blank; 0 if there is none.
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

/// The stop as one item of a list. JSON strings are YAML strings as well.
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

/// All stops in one form, below the comments of the text.
std::string rewritten(const Lines &lines, const std::vector<PlannedStop> &stops)
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

/// The edited text if it holds just the wanted stops, otherwise all stops rewritten. An edit of
/// lines is right for a list with one item under the other, which is the usual form.
std::string checked(const Lines &edited, const Lines &original,
                    const std::vector<PlannedStop> &wanted)
{
    try {
        std::string text = joinLines(edited);
        if (!wanted.empty() && readStops(text) == wanted) {
            return text;
        }
    } catch (const Error &) {
        // The list is not of the usual form.
    }
    return rewritten(original, wanted);
}

/// Lines of the items' dashes.
std::vector<std::size_t> itemLines(const std::string &text, const Lines &lines)
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
    return checked(edited, lines, wanted);
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
    const std::vector<std::size_t> starts = itemLines(text, lines);
    const std::size_t start = starts[index];
    std::size_t end = index + 1 < starts.size() ? starts[index + 1] : lines.size();
    // Comments above the next item belong to that one.
    while (end > start + 1 && isCommentOrBlank(lines[end - 1])) {
        --end;
    }
    Lines edited(lines.begin(), lines.begin() + std::ptrdiff_t(start));
    edited.insert(edited.end(), lines.begin() + std::ptrdiff_t(std::max(end, start)), lines.end());
    return checked(edited, lines, wanted);
}

} // namespace Tarragon
