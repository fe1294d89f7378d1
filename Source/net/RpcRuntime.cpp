#include "net/RpcRuntime.h"

#include <event2/event.h>

#include <csignal>

namespace Tarragon {

namespace {

/// Maximum number of kj continuations between two polls of the libevent base, so that a long chain
/// of ready promises does not delay timers and reads.
constexpr unsigned ContinuationsPerPoll = 64;

} // namespace

RpcRuntime::RpcRuntime(event_base *base)
    : m_base(base)
    , m_port(base, sigc::mem_fun(*this, &RpcRuntime::stop))
    , m_loop(m_port)
    , m_scope(m_loop)
{
    m_scope.setBusyPollInterval(ContinuationsPerPoll);
    // A bufferevent writes without MSG_NOSIGNAL, and a peer may close its end at any moment; the
    // signal would end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

RpcRuntime::~RpcRuntime() noexcept = default;

void RpcRuntime::run()
{
    kj::PromiseFulfillerPair<void> stopped = kj::newPromiseAndFulfiller<void>();
    m_stop = kj::mv(stopped.fulfiller);
    // Entering the loop clears a break that ended an earlier run(), so that it does not end this
    // one. Callbacks that run here may stop this run(), because m_stop is set already.
    event_base_loop(m_base, EVLOOP_NONBLOCK);
    stopped.promise.wait(m_scope);
    m_stop = nullptr;
}

void RpcRuntime::stop()
{
    if (m_stop)
        m_stop->fulfill();
}

} // namespace Tarragon
