#include "document/TrailingTextFinder.h"

#include <yaml-cpp/parser.h>

#include <sstream>

namespace Tarragon {

std::optional<int> TrailingTextFinder::find(const std::string &text)
{
    std::istringstream in(text);
    YAML::Parser parser(in);
    TrailingTextFinder finder;
    // YAML::LoadAll() is not used: for a text that starts with a comma the library's parser reports
    // empty documents without end, and the process would run out of memory.
    if (parser.HandleNextDocument(finder) && parser.HandleNextDocument(finder)) {
        return finder.m_line;
    }
    return std::nullopt;
}

} // namespace Tarragon
