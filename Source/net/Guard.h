#pragma once

#include "base/Units.h"

#include <cstdint>
#include <exception>
#include <string_view>

#include <sys/time.h>

namespace Tarragon {

/// Logs an exception that a callback has thrown.
void logCallbackError(std::string_view where, const std::exception &error);

/// Runs a callback for libevent. Exceptions must not pass through its C frames; they are logged.
/// Returns whether there was none.
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

/// The duration as libevent takes it.
constexpr timeval toTimeval(microseconds duration)
{
    constexpr std::int64_t MicrosecondsPerSecond = 1'000'000;
    return timeval{ duration.count() / MicrosecondsPerSecond,
                    duration.count() % MicrosecondsPerSecond };
}

} // namespace Tarragon
