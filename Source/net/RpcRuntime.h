#pragma once

#include "net/RpcEventPort.h"

#include <kj/async.h>

struct event_base;

namespace Tarragon {

/// Connects kj's event loop to a libevent base. There is one runtime per thread, and every kj
/// promise must be destroyed before it. A libevent callback must not wait for a promise, because
/// the base's loop is not reentrant.
class RpcRuntime
{
public:
    /// The base is not owned; in a process with an EventLoop, pass EventLoop::base().
    explicit RpcRuntime(event_base *base);
    /// Declared noexcept because the destructors of kj members may throw.
    ~RpcRuntime() noexcept;
    RpcRuntime(const RpcRuntime &) = delete;
    RpcRuntime &operator=(const RpcRuntime &) = delete;

    /// Runs libevent callbacks and kj continuations until stop() is called or the base's loop is
    /// broken, as EventLoop::stop() does.
    void run();
    /// Makes run() return after the current callback.
    void stop();
    /// Returns the scope for waiting on a promise outside of callbacks, as at process start and in
    /// tests.
    kj::WaitScope &waitScope() { return m_scope; }

private:
    event_base *m_base;
    kj::Own<kj::PromiseFulfiller<void>> m_stop;
    RpcEventPort m_port;
    kj::EventLoop m_loop;
    kj::WaitScope m_scope;
};

} // namespace Tarragon
