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
    const std::shared_ptr<sigc::slot<void()>> callback = static_cast<Timer::State *>(arg)->callback;
    guarded("timer", [&callback] { (*callback)(); });
}

} // namespace

Timer::State::State(event_base *base, microseconds delay, bool repeats,
                    sigc::slot<void()> timerCallback)
    : callback(std::make_shared<sigc::slot<void()>>(std::move(timerCallback)))
{
    const timeval tv = toTimeval(std::max(delay, microseconds(0)));
    timerEvent = event_new(base, -1, short(repeats ? EV_PERSIST : 0), onTimer, this);
    if (timerEvent == nullptr || event_add(timerEvent, &tv) != 0) {
        if (timerEvent != nullptr) {
            event_free(timerEvent);
        }
        throw Error("libevent could not arm a timer");
    }
}

Timer::State::~State()
{
    event_free(timerEvent);
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
    return m_state != nullptr && event_pending(m_state->timerEvent, EV_TIMEOUT, nullptr) != 0;
}

} // namespace Tarragon
