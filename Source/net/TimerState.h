#pragma once

#include "base/Units.h"
#include "net/EventLoop.h"
#include "net/Timer.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <optional>

struct event;

namespace Tarragon {

/// State of a Timer: its libevent event and the callback.
struct Timer::State
{
    /// Arms the event. Throws Error if libevent cannot.
    State(const EventLoop &loop, microseconds delay, bool repeats, sigc::slot<void()> callback);
    ~State();
    State(const State &) = delete;
    State &operator=(const State &) = delete;

    /// Calls the callback, or arms the event again if libevent fired before the due time.
    void onTimeout();

    const EventLoop &loop;
    const std::unique_ptr<event, void (*)(event *)> timerEvent;
    /// Time before which the callback must not run; unset for a repeating timer.
    std::optional<MonotonicTime> due;
    /// Shared, so that a callback may destroy its own timer while it runs.
    std::shared_ptr<sigc::slot<void()>> callback;
};

} // namespace Tarragon
