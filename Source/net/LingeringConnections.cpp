#include "net/LingeringConnections.h"

#include "net/SocketQueues.h"

#include <utility>

namespace Tarragon {

LingeringConnections::LingeringConnections(EventLoop &loop)
    : m_loop(loop)
{}

LingeringConnections::~LingeringConnections()
{
    while (!m_connections.empty()) {
        m_connections.begin()->second.closed.cause = CloseCause::ServerEnd;
        close(m_connections.begin()->first);
    }
}

void LingeringConnections::add(evutil_socket_t fd, const ClosedConnection &closed,
                               std::unique_ptr<ConnectionAccount> account,
                               const LingerLimits &limits, UnprocessedInput unprocessed)
{
    account->clearBuffered();
    account->setBusy(false);
    account->setEvict([this, fd] {
        m_connections.at(fd).closed.cause = CloseCause::Eviction;
        close(fd);
    });
    account->setProgressQuery([fd] {
        return SocketProgress{ false, unacknowledgedBytes(fd).value_or(0) == 0 };
    });
    ConnectionAccount &counted = *account;
    std::unique_ptr<UnprocessedInput> discarded =
            std::make_unique<UnprocessedInput>(std::move(unprocessed));
    // Nothing of an idle connection can be lost by a reset once all responses have arrived.
    const FurtherInput furtherInput =
            closed.cause == CloseCause::Idle && unacknowledgedBytes(fd).value_or(1) == 0
                    ? FurtherInput::Refuse
                    : FurtherInput::Discard;
    std::unique_ptr<LingeringClose> lingering = std::make_unique<LingeringClose>(
            m_loop, LingeringSocket(m_loop.base(), fd, furtherInput, discarded.get()),
            std::string(), StreamEnd::Shutdown, limits, [this, fd](LingerResult) { close(fd); });
    lingering->progressed().connect([this, &counted] { counted.onProgress(m_loop.now()); });
    ConnectionCloses::ofProcess().addLingering();
    m_connections.emplace(fd, Connection{ closed, std::move(account), std::move(discarded),
                                          std::move(lingering) });
}

void LingeringConnections::close(evutil_socket_t fd)
{
    const auto it = m_connections.find(fd);
    Connection connection = std::move(it->second);
    m_connections.erase(it);
    // libevent must remove its events before the descriptor can be used again.
    connection.close.reset();
    ConnectionCloses::ofProcess().removeLingering();
    connection.discarded->addUnread(fd);
    ConnectionCloses &closes = ConnectionCloses::ofProcess();
    closes.recordUnprocessed(connection.closed, *connection.discarded, m_loop.now());
    closes.recordSocket(fd, connection.closed.cause, m_loop.now());
    evutil_closesocket(fd);
}

} // namespace Tarragon
