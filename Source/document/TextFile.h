#pragma once

#include <string>

namespace Tarragon {

/// Returns the content of a file. Throws Error if the file cannot be read.
std::string readTextFile(const std::string &path);

} // namespace Tarragon
