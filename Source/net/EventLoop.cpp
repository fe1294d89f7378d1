#include "net/EventLoop.h"

#include "base/Error.h"
#include "net/Guard.h"
#include "net/TimerState.h"

#include <event2/event.h>

#include <chrono>
#include <csignal>
#include <ctime>
#include <string>

namespace Tarragon {

struct EventLoop::SignalHandler
{
    event *signalEvent = nullptr;
    sigc::slot<void()> callback;

    SignalHandler() = default;
    ~SignalHandler()
    {
        if (signalEvent != nullptr) {
            event_free(signalEvent);
        }
    }
    SignalHandler(const SignalHandler &) = delete;
    SignalHandler &operator=(const SignalHandler &) = delete;

    static void onSignal(evutil_socket_t, short, void *arg)
    {
        SignalHandler *handler = static_cast<SignalHandler *>(arg);
        guarded("signal", [handler] { handler->callback(); });
    }
};

namespace {

void runPosted(evutil_socket_t, short, void *arg)
{
    const std::unique_ptr<sigc::slot<void()>> callback(static_cast<sigc::slot<void()> *>(arg));
    guarded("posted callback", [&callback] { (*callback)(); });
}

} // namespace

EventLoop::EventLoop()
{
    // Without this, writing to a socket that the peer has closed would end the process; write()
    // reports the error by its return value instead.
    std::signal(SIGPIPE, SIG_IGN);
    event_config *config = event_config_new();
    if (config != nullptr) {
        // evhttp disables and enables reading around every request. With a changelist, libevent
        // merges such pairs and makes no system call for them. The flag requires that no descriptor
        // is duplicated, which holds for this process.
        event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
        m_base = event_base_new_with_config(config);
        event_config_free(config);
    }
    if (m_base == nullptr) {
        throw Error("libevent could not make an event base");
    }
}

EventLoop::~EventLoop()
{
    m_signals.clear();
    event_base_free(m_base);
}

void EventLoop::run()
{
    event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::stop()
{
    event_base_loopbreak(m_base);
}

MonotonicTime EventLoop::now() const
{
    // CLOCK_BOOTTIME includes time during which the machine is suspended. Deadlines and leases keep
    // running during that time, too.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return MonotonicTime(std::chrono::duration_cast<microseconds>(
            seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

Timer EventLoop::schedule(microseconds delay, sigc::slot<void()> callback)
{
    return Timer(std::make_unique<Timer::State>(*this, delay, false, std::move(callback)));
}

void EventLoop::post(sigc::slot<void()> callback)
{
    std::unique_ptr<sigc::slot<void()>> owned =
            std::make_unique<sigc::slot<void()>>(std::move(callback));
    const timeval immediately{ 0, 0 };
    if (event_base_once(m_base, -1, EV_TIMEOUT, runPosted, owned.get(), &immediately) != 0) {
        throw Error("libevent could not post a callback");
    }
    // libevent's event owns the slot now; runPosted() deletes it.
    static_cast<void>(owned.release());
}

Timer EventLoop::scheduleEvery(microseconds period, sigc::slot<void()> callback)
{
    return Timer(std::make_unique<Timer::State>(*this, period, true, std::move(callback)));
}

void EventLoop::onSignal(int signalNumber, sigc::slot<void()> callback)
{
    std::unique_ptr<SignalHandler> handler = std::make_unique<SignalHandler>();
    handler->callback = std::move(callback);
    handler->signalEvent =
            evsignal_new(m_base, signalNumber, SignalHandler::onSignal, handler.get());
    if (handler->signalEvent == nullptr || evsignal_add(handler->signalEvent, nullptr) != 0) {
        throw Error("libevent could not handle signal " + std::to_string(signalNumber));
    }
    m_signals.push_back(std::move(handler));
}

} // namespace Tarragon
