#pragma once

#include "base/Units.h"

#include <sigc++/sigc++.h>

#include <concepts>
#include <utility>

namespace Tarragon {

/// A clock with timers: the event loop of a process, or virtual time.
template<typename T>
concept TimerLoop = requires(T &loop, microseconds delay, sigc::slot<void()> callback)
{
    {
        loop.now()
        } -> std::same_as<MonotonicTime>;
    loop.schedule(delay, callback).reset();
    {
        loop.scheduleEvery(delay, callback).isActive()
        } -> std::same_as<bool>;
};

/// Timers of a loop.
template<TimerLoop Loop>
using TimerOf = decltype(std::declval<Loop &>().schedule(microseconds(0), sigc::slot<void()>()));

} // namespace Tarragon
