#pragma once

#include <kj/async.h>
#include <sigc++/sigc++.h>

struct event_base;

namespace Tarragon {

/// Lets kj promises wait for libevent events, so that Cap'n Proto and the rest of the process share
/// one thread. Waiting runs the libevent base, and with it all timers and sockets of the process.
class RpcEventPort final : public kj::EventPort
{
public:
    /// The base is not owned. The slot is called when someone breaks the base's loop, which would
    /// otherwise be lost because waiting enters the loop again.
    RpcEventPort(event_base *base, sigc::slot<void()> onBreak);

    /// Blocks until at least one libevent callback has run.
    bool wait() override;
    /// Runs the libevent callbacks that are due, without blocking.
    bool poll() override;

private:
    bool reportBreak();

    event_base *m_base;
    sigc::slot<void()> m_onBreak;
};

} // namespace Tarragon
