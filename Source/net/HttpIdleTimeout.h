#pragma once

#include "base/Units.h"
#include "net/HttpHeaders.h"

namespace Tarragon {

/// Returns how long a client's connection may stay idle after a response with the headers. The
/// Keep-Alive header states the peer's timeout in whole seconds.
microseconds idleTimeoutOf(const HttpHeaders &headers);

} // namespace Tarragon
