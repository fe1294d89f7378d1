#pragma once

#include "base/Units.h"
#include "net/Timer.h"

#include <sigc++/sigc++.h>

#include <memory>

struct event;
struct event_base;

namespace Tarragon {

/// The libevent event behind a Timer.
struct Timer::State
{
    /// Arms the event. Throws Error if libevent cannot.
    State(event_base *base, microseconds delay, bool repeats, sigc::slot<void()> callback);
    ~State();
    State(const State &) = delete;
    State &operator=(const State &) = delete;

    event *timerEvent = nullptr;
    /// Shared, so that a callback may destroy its own timer while it runs.
    std::shared_ptr<sigc::slot<void()>> callback;
};

} // namespace Tarragon
