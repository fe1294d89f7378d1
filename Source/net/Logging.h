#pragma once

#include "net/LogBuffer.h"

#include <memory>
#include <string>

namespace Tarragon {

/// Sets up log4cplus to write one line per event into the returned buffer, without a thread pool.
/// The level is one of TRACE, DEBUG, INFO, WARN and ERROR; throws Error for any other.
std::shared_ptr<LogBuffer> initializeLogging(const std::string &level);

} // namespace Tarragon
