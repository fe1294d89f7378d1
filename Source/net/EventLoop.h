#pragma once

#include "base/Units.h"
#include "net/Timer.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <vector>

struct event_base;

namespace Tarragon {

/// The process's event loop: one libevent base on one thread.
class EventLoop
{
public:
    /// Throws Error if libevent cannot create an event base.
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs until stop() is called.
    void run();
    /// Makes run() return after the current callback.
    void stop();
    /// Returns the current monotonic time, including time during which the machine was suspended.
    /// The value is not cached for an iteration of the loop, so that a suspension or a long
    /// callback is visible at once.
    MonotonicTime now() const;
    /// Calls the slot once after the delay, never earlier. Destroying the returned timer before
    /// then cancels the call.
    Timer schedule(microseconds delay, sigc::slot<void()> callback);
    /// Calls the slot once in the next iteration of the loop.
    void post(sigc::slot<void()> callback);
    /// Calls the slot every period until the returned timer is destroyed.
    Timer scheduleEvery(microseconds period, sigc::slot<void()> callback);
    /// Calls the slot whenever the process receives the signal, for the lifetime of the loop.
    void onSignal(int signalNumber, sigc::slot<void()> callback);

    event_base *base() const { return m_base; }

private:
    struct SignalHandler;

    event_base *m_base = nullptr;
    std::vector<std::unique_ptr<SignalHandler>> m_signals;
};

} // namespace Tarragon
