#pragma once

#include "net/EventLoop.h"
#include "net/RpcStream.h"

#include <cstdint>
#include <string>

struct evconnlistener;

namespace Tarragon {

/// Accepts connections for Cap'n Proto.
class RpcListener
{
public:
    /// The handler moves the stream out; a stream that it leaves is closed.
    using Handler = sigc::slot<void(kj::Own<RpcStream> &)>;

    /// Listens on the IP address; port 0 takes a free port. Throws Error if it cannot listen.
    RpcListener(EventLoop &loop, const std::string &address, std::uint16_t port, Handler handler);
    ~RpcListener();
    RpcListener(const RpcListener &) = delete;
    RpcListener &operator=(const RpcListener &) = delete;

    /// The port that is listened on.
    std::uint16_t port() const { return m_port; }

private:
    struct Callbacks;

    EventLoop &m_loop;
    Handler m_handler;
    evconnlistener *m_listener = nullptr;
    std::uint16_t m_port = 0;
    Timer m_resume;
};

} // namespace Tarragon
