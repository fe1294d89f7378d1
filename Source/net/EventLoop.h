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
    /// Throws Error if libevent cannot make a base.
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs until stop() is called.
    void run();
    /// Ends run() after the current callback.
    void stop();
    /// Monotonic time now, with the time that the machine was suspended; not cached over an
    /// iteration, so that a pause shows at once.
    MonotonicTime now() const;
    /// Calls the slot once, no earlier than the delay from now, unless the returned timer is
    /// destroyed before.
    Timer schedule(microseconds delay, sigc::slot<void()> callback);
    /// Calls the slot once at the next turn of the loop.
    void post(sigc::slot<void()> callback);
    /// Calls the slot every period until the returned timer is destroyed.
    Timer scheduleEvery(microseconds period, sigc::slot<void()> callback);
    /// Calls the slot when the process receives the signal, for the life of the loop.
    void onSignal(int signalNumber, sigc::slot<void()> callback);

    event_base *base() const { return m_base; }

private:
    struct SignalHandler;

    event_base *m_base = nullptr;
    std::vector<std::unique_ptr<SignalHandler>> m_signals;
};

} // namespace Tarragon
