#include "gateway/CallerLimits.h"

namespace Tarragon {

namespace {

/// Time within which a change must be in force at all entries; the platform's shortest bound.
constexpr milliseconds ChangeTime{ 2'500 };

} // namespace

HttpServerLimits callerLimits(const HttpServerLimits &stated)
{
    HttpServerLimits result = stated;
    result.idleTimeout += ChangeTime;
    return result;
}

} // namespace Tarragon
