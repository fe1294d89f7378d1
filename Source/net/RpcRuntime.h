#pragma once

#include "net/RpcEventPort.h"

#include <kj/async.h>

struct event_base;

namespace Tarragon {

/// Ties kj's event loop to a libevent base. There is one per thread, and every kj promise must be
/// destroyed before it. Promises are never waited for from a libevent callback, since the base's
/// loop is not reentrant.
class RpcRuntime
{
public:
    /// The base is not owned; with an EventLoop it is EventLoop::base().
    explicit RpcRuntime(event_base *base);
    /// Declared because kj's members may throw from theirs.
    ~RpcRuntime() noexcept;
    RpcRuntime(const RpcRuntime &) = delete;
    RpcRuntime &operator=(const RpcRuntime &) = delete;

    /// Runs libevent callbacks and kj continuations until stop() is called or the base's loop is
    /// broken, as EventLoop::stop() does.
    void run();
    /// Ends run() after the current callback.
    void stop();
    /// For waiting on a promise outside of callbacks, as at the start of a process and in tests.
    kj::WaitScope &waitScope() { return m_scope; }

private:
    event_base *m_base;
    kj::Own<kj::PromiseFulfiller<void>> m_stop;
    RpcEventPort m_port;
    kj::EventLoop m_loop;
    kj::WaitScope m_scope;
};

} // namespace Tarragon
