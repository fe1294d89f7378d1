#pragma once

#include <string>

namespace Tarragon {

/// Line-based difference of two texts in unified form, with three lines of context. Empty if the
/// texts are equal. The labels name the texts in the first two lines.
std::string sectionDiff(const std::string &oldText, const std::string &newText,
                        const std::string &oldLabel, const std::string &newLabel);

} // namespace Tarragon
