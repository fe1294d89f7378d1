#include "net/LingeringConnections.h"

#include <utility>

namespace Tarragon {

LingeringConnections::LingeringConnections(EventLoop &loop)
    : m_loop(loop)
{}

LingeringConnections::~LingeringConnections()
{
    while (!m_connections.empty()) {
        close(m_connections.begin()->first, CloseCause::ServerEnd);
    }
}

void LingeringConnections::add(evutil_socket_t fd, CloseCause cause,
                               std::unique_ptr<ConnectionAccount> account,
                               const LingerLimits &limits)
{
    account->clearBuffered();
    account->setBusy(false);
    account->setEvict([this, fd] { close(fd, CloseCause::Eviction); });
    ConnectionAccount &counted = *account;
    std::unique_ptr<LingeringClose> lingering = std::make_unique<LingeringClose>(
            m_loop, LingeringSocket(m_loop.base(), fd), std::string(), StreamEnd::Shutdown, limits,
            [this, fd, cause](LingerResult) { close(fd, cause); });
    lingering->progressed().connect([this, &counted] { counted.onProgress(m_loop.now()); });
    ConnectionCloses::ofProcess().addLingering();
    m_connections.emplace(fd, Connection{ cause, std::move(account), std::move(lingering) });
}

void LingeringConnections::close(evutil_socket_t fd, CloseCause cause)
{
    const auto it = m_connections.find(fd);
    Connection connection = std::move(it->second);
    m_connections.erase(it);
    // libevent must remove its events before the descriptor can be used again.
    connection.close.reset();
    ConnectionCloses::ofProcess().removeLingering();
    ConnectionCloses::ofProcess().recordSocket(fd, cause, m_loop.now());
    evutil_closesocket(fd);
}

} // namespace Tarragon
