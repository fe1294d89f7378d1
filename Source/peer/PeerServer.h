#pragma once

#include "net/RpcListener.h"
#include "net/RpcSession.h"
#include "peer/PeerHandlers.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace Tarragon {

/// Serves the Peer interface to the other entries. Requires the thread's RpcRuntime.
class PeerServer : private kj::TaskSet::ErrorHandler
{
public:
    /// Maximum number of connections; further ones are closed at once. Bounds the memory, since
    /// each connection may hold a message of RpcLimits::messageBytes.
    static constexpr std::size_t MaxConnections = 512;

    /// Listens on the IP address; port 0 selects a free port. Throws Error if listening fails.
    PeerServer(EventLoop &loop, const std::string &address, std::uint16_t port,
               PeerHandlers handlers);
    ~PeerServer() noexcept;
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    std::uint16_t port() const { return m_listener.port(); }
    std::size_t connections() const { return *m_connections; }

private:
    void onConnection(kj::Own<RpcStream> &stream);
    void taskFailed(kj::Exception &&exception) override;

    std::shared_ptr<const PeerHandlers> m_handlers;
    std::shared_ptr<std::size_t> m_connections = std::make_shared<std::size_t>(0);
    kj::TaskSet m_sessions;
    RpcListener m_listener;
};

} // namespace Tarragon
