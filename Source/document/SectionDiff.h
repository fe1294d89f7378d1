#pragma once

#include <string>

namespace Tarragon {

/// Returns the line-based difference of two texts in unified diff format, with three lines of
/// context; empty if the texts are equal. The labels are the names of the texts in the first two
/// lines.
std::string sectionDiff(const std::string &oldText, const std::string &newText,
                        const std::string &oldLabel, const std::string &newLabel);

} // namespace Tarragon
