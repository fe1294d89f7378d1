#include "document/Finding.h"

namespace Tarragon {

std::string toString(const Finding &finding)
{
    std::string text;
    if (!finding.file.empty()) {
        text += finding.file + ":";
    }
    if (finding.line > 0) {
        text += (finding.file.empty() ? "line " : "") + std::to_string(finding.line) + ":";
    }
    if (!text.empty()) {
        text += " ";
    }
    if (!finding.section.empty()) {
        text += finding.section + ": ";
    }
    if (!finding.key.empty()) {
        text += finding.key + ": ";
    }
    return text + "found " + finding.found + ", expected " + finding.expected;
}

} // namespace Tarragon
