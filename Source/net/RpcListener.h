#pragma once

#include "net/EventLoop.h"
#include "net/RpcStream.h"

#include <cstdint>
#include <string>

struct evconnlistener;

namespace Tarragon {

/// Accepts TCP connections for Cap'n Proto RPC.
class RpcListener
{
public:
    /// Receives an accepted stream, which it should move out of its argument; otherwise the stream
    /// is closed.
    using Handler = sigc::slot<void(kj::Own<RpcStream> &)>;

    /// Listens on the IP address; port 0 selects a free port. Throws Error if it cannot listen.
    RpcListener(EventLoop &loop, const std::string &address, std::uint16_t port, Handler handler);
    ~RpcListener();
    RpcListener(const RpcListener &) = delete;
    RpcListener &operator=(const RpcListener &) = delete;

    /// Returns the port that the listener uses.
    std::uint16_t port() const { return m_port; }

private:
    struct Callbacks;

    EventLoop &m_loop;
    Handler m_handler;
    evconnlistener *m_listener = nullptr;
    std::uint16_t m_port = 0;
    Timer m_acceptRetry;
};

} // namespace Tarragon
