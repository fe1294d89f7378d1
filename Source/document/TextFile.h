#pragma once

#include <string>

namespace Tarragon {

/// Content of a file. Throws Error if it cannot be read.
std::string readTextFile(const std::string &path);

} // namespace Tarragon
