#pragma once

#include <string>

namespace Tarragon {

/// Sets up log4cplus: one line an event on standard error, no thread pool. Level is one of TRACE,
/// DEBUG, INFO, WARN, ERROR. Throws Error for any other.
void initializeLogging(const std::string &level);

} // namespace Tarragon
