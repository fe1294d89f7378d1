#pragma once

#include <log4cplus/logger.h>

namespace Tarragon {

/// Returns the logger of the components that read the store and relay its changes.
const log4cplus::Logger &storeLogger();

} // namespace Tarragon
