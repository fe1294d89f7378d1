#pragma once

#include "base/Units.h"

#include <cstdint>
#include <exception>
#include <string_view>

#include <sys/time.h>

namespace Tarragon {

/// Logs an exception that a callback has thrown; "where" names the kind of callback.
void logCallbackError(std::string_view where, const std::exception &error);

/// Calls the function and logs any exception that it throws, because exceptions must not propagate
/// through the C stack frames of libevent. Returns whether the function returned normally.
template<typename Function>
bool guarded(std::string_view where, const Function &function)
{
    try {
        function();
        return true;
    } catch (const std::exception &error) {
        logCallbackError(where, error);
        return false;
    }
}

/// Converts a duration to the type that libevent expects.
constexpr timeval toTimeval(microseconds duration)
{
    constexpr std::int64_t MicrosecondsPerSecond = 1'000'000;
    return timeval{ duration.count() / MicrosecondsPerSecond,
                    duration.count() % MicrosecondsPerSecond };
}

} // namespace Tarragon
