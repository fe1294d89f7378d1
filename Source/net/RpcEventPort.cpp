#include "net/RpcEventPort.h"

#include <event2/event.h>

#include <utility>

namespace Tarragon {

RpcEventPort::RpcEventPort(event_base *base, sigc::slot<void()> onBreak)
    : m_base(base)
    , m_onBreak(std::move(onBreak))
{}

bool RpcEventPort::reportBreak()
{
    if (event_base_got_break(m_base) == 0 && event_base_got_exit(m_base) == 0)
        return false;
    m_onBreak();
    return true;
}

bool RpcEventPort::wait()
{
    // libevent clears a break that a kj continuation requested when its loop starts, so it is
    // checked before.
    if (reportBreak())
        return false;
    event_base_loop(m_base, EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
    reportBreak();
    return false;
}

bool RpcEventPort::poll()
{
    if (reportBreak())
        return false;
    event_base_loop(m_base, EVLOOP_NONBLOCK);
    reportBreak();
    return false;
}

} // namespace Tarragon
