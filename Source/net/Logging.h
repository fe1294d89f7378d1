#pragma once

#include "net/LogBuffer.h"

#include <memory>
#include <string>

namespace Tarragon {

/// Sets up log4cplus: one line an event into the returned buffer, no thread pool. Level is one of
/// TRACE, DEBUG, INFO, WARN, ERROR. Throws Error for any other.
std::shared_ptr<LogBuffer> initializeLogging(const std::string &level);

} // namespace Tarragon
