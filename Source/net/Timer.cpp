#include "net/Timer.h"

#include "base/Error.h"
#include "net/Guard.h"
#include "net/TimerState.h"

#include <event2/event.h>

#include <algorithm>

namespace Tarragon {

namespace {

void onTimer(evutil_socket_t, short, void *arg)
{
    static_cast<Timer::State *>(arg)->onTimeout();
}

/// Throws Error if libevent cannot arm the event.
void arm(event *timerEvent, microseconds delay)
{
    const timeval tv = toTimeval(std::max(delay, microseconds(0)));
    if (event_add(timerEvent, &tv) != 0) {
        throw Error("libevent could not arm a timer");
    }
}

} // namespace

Timer::State::State(const EventLoop &eventLoop, microseconds delay, bool repeats,
                    sigc::slot<void()> timerCallback)
    : loop(eventLoop)
    , timerEvent(event_new(loop.base(), -1, short(repeats ? EV_PERSIST : 0), onTimer, this),
                 event_free)
    , callback(std::make_shared<sigc::slot<void()>>(std::move(timerCallback)))
{
    if (timerEvent == nullptr) {
        throw Error("libevent could not make a timer");
    }
    if (!repeats) {
        due = loop.now() + delay;
    }
    arm(timerEvent.get(), delay);
}

Timer::State::~State() = default;

void Timer::State::onTimeout()
{
    // libevent measures the delay from the start of the loop's iteration, with a clock of
    // millisecond resolution, so that it may fire early.
    const microseconds remaining = due.has_value() ? *due - loop.now() : microseconds(0);
    if (remaining > microseconds(0)) {
        guarded("timer", [this, remaining] { arm(timerEvent.get(), remaining); });
        return;
    }
    const std::shared_ptr<sigc::slot<void()>> running = callback;
    guarded("timer", [&running] { (*running)(); });
}

Timer::Timer() = default;

Timer::Timer(std::unique_ptr<State> state)
    : m_state(std::move(state))
{}

Timer::Timer(Timer &&other) noexcept = default;
Timer &Timer::operator=(Timer &&other) noexcept = default;
Timer::~Timer() = default;

void Timer::reset()
{
    m_state.reset();
}

bool Timer::isActive() const
{
    return m_state != nullptr && event_pending(m_state->timerEvent.get(), EV_TIMEOUT, nullptr) != 0;
}

} // namespace Tarragon
