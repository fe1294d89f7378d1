#include "document/TrailingTextFinder.h"

#include <yaml-cpp/parser.h>

#include <sstream>

namespace Tarragon {

std::optional<int> TrailingTextFinder::find(const std::string &text)
{
    std::istringstream in(text);
    YAML::Parser parser(in);
    TrailingTextFinder finder;
    // YAML::LoadAll() would find a second document as well, but at a comma at the start of a text
    // the parser reports one more empty document for ever, and the process runs out of memory.
    if (parser.HandleNextDocument(finder) && parser.HandleNextDocument(finder)) {
        return finder.m_line;
    }
    return std::nullopt;
}

} // namespace Tarragon
