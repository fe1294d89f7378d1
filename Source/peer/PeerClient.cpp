#include "peer/PeerClient.h"

#include <utility>

namespace Tarragon {

PeerClient::PeerClient(EventLoop &loop, const std::string &address, std::uint16_t port,
                       std::uint64_t seed, const RpcConnectorOptions &options)
    : m_loop(loop)
    , m_replies(*this)
    , m_timedOut(*this)
    , m_connector(loop, address, port, options, seed, sigc::mem_fun(*this, &PeerClient::onStream))
{}

PeerClient::~PeerClient() noexcept = default;

void PeerClient::onStream(kj::Own<RpcStream> &stream)
{
    m_session = kj::heap<RpcSession>(kj::mv(stream));
    m_peer = m_session->remote().castAs<PeerRpc::Peer>();
    m_timeouts = 0;
    m_disconnect = m_session->onDisconnect()
                           .then([this] {
                               m_close = m_loop.schedule(microseconds(0), [this] { close(); });
                           })
                           .eagerlyEvaluate([](kj::Exception &&) {});
    m_connected.emit();
}

void PeerClient::onReply()
{
    --m_pending;
    m_timeouts = 0;
    m_connector.connectionProved();
}

void PeerClient::onTimeout(std::uint64_t id)
{
    // The continuations that process what has been read run after the callbacks of the loop.
    m_timedOut.add(kj::evalLast([this, id] { endTimedOut(id); }));
}

void PeerClient::endTimedOut(std::uint64_t id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    const bool hasInput = m_session.get() != nullptr && m_session->hasUnreadInput();
    if (it->second.grace.mustWait(hasInput, m_loop.now())) {
        it->second.timer = m_loop.schedule(microseconds(0), [this, id] { onTimeout(id); });
        return;
    }
    if (++m_timeouts >= MaxTimeouts && m_session.get() != nullptr)
        m_close = m_loop.schedule(microseconds(0), [this] { close(); });
    fail(id);
}

void PeerClient::fail(std::uint64_t id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    const std::function<void()> failed = std::move(it->second.failed);
    m_calls.erase(it);
    guarded("peer call", failed);
}

void PeerClient::close()
{
    if (m_session.get() == nullptr)
        return;
    // Destroying the session makes the calls in progress fail.
    m_disconnect = nullptr;
    m_peer = nullptr;
    m_session = nullptr;
    m_connector.connectionLost();
}

} // namespace Tarragon
