#pragma once

#include <kj/async.h>
#include <sigc++/sigc++.h>

struct event_base;

namespace Tarragon {

/// Runs a libevent base while kj waits for events, so that Cap'n Proto and the rest of the process
/// share one thread. Waiting for a kj promise runs all timers and sockets of the base.
class RpcEventPort final : public kj::EventPort
{
public:
    /// The base is not owned. The slot is called when the base's loop was ended by
    /// event_base_loopbreak() or event_base_loopexit(). Such a request would otherwise be lost,
    /// because waiting for a promise enters the loop again.
    RpcEventPort(event_base *base, sigc::slot<void()> onBreak);

    /// Blocks until at least one libevent callback has run.
    bool wait() override;
    /// Runs the libevent callbacks that are due, without blocking.
    bool poll() override;

private:
    /// Calls m_onBreak if the base's loop was ended; returns whether it was.
    bool reportBreak();

    event_base *m_base;
    sigc::slot<void()> m_onBreak;
};

} // namespace Tarragon
