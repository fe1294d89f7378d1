#pragma once

#include "net/Guard.h"
#include "net/InputGrace.h"
#include "net/RpcConnector.h"
#include "net/RpcSession.h"
#include "peer/Peer.capnp.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Tarragon {

/// How a call to a peer ended.
enum class PeerOutcome {
    /// The peer has replied.
    Done,
    /// Nothing of the call was sent.
    NotSent,
    /// The call timed out, the connection broke or the peer returned an error. The peer may have
    /// carried out the call.
    Unknown,
};

/// Calls the Peer interface of one other entry. Connects on construction and reconnects whenever
/// the connection ends. Requires the thread's RpcRuntime. Must not be destroyed from within one of
/// its callbacks. A reply that has arrived when the timeout of its call is processed counts,
/// however late that is.
class PeerClient : private kj::TaskSet::ErrorHandler
{
public:
    /// Maximum number of calls without a reply; further calls fail with NotSent. Bounds the memory
    /// used for a peer that does not read from its connection.
    static constexpr std::size_t MaxCalls = 256;
    /// Consecutive timeouts after which the connection is closed. A new connection works as soon as
    /// a network partition has healed, whereas an existing one would wait for the next TCP
    /// retransmission.
    static constexpr int MaxTimeouts = 2;

    template<typename Params, typename Results>
    using Method = capnp::Request<Params, Results> (PeerRpc::Peer::Client::*)(
            kj::Maybe<capnp::MessageSize>);

    PeerClient(EventLoop &loop, const std::string &address, std::uint16_t port, std::uint64_t seed,
               const RpcConnectorOptions &options = {});
    ~PeerClient() noexcept;
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    bool isConnected() const { return m_session.get() != nullptr; }
    /// Emitted when a connection has been established.
    sigc::signal<void()> &connected() { return m_connected; }

    /// Calls a method of Peer. If there is a connection, fill(Params::Builder) is called before
    /// this method returns. done(PeerOutcome, const Results::Reader *) is called once from the
    /// event loop; the reader is null unless the outcome is Done.
    template<typename Params, typename Results, typename Fill, typename Done>
    void call(Method<Params, Results> method, microseconds timeout, const Fill &fill, Done done)
    {
        const std::uint64_t id = ++m_lastCall;
        Call &call = m_calls[id];
        if (m_session.get() == nullptr || m_pending >= MaxCalls) {
            call.failed = [done]() mutable { done(PeerOutcome::NotSent, none<Results>()); };
            call.timer = m_loop.schedule(microseconds(0), [this, id] { fail(id); });
            return;
        }
        call.failed = [done]() mutable { done(PeerOutcome::Unknown, none<Results>()); };
        call.timer = m_loop.schedule(timeout, [this, id] { onTimeout(id); });
        capnp::Request<Params, Results> request = (m_peer.*method)(nullptr);
        fill(static_cast<typename Params::Builder &>(request));
        ++m_pending;
        m_replies.add(request.send().then(
                [this, id, done](capnp::Response<Results> &&response) mutable {
                    onReply();
                    if (m_calls.erase(id) == 0)
                        return;
                    const typename Results::Reader reader = response;
                    guarded("peer reply", [&] { done(PeerOutcome::Done, &reader); });
                },
                [this, id](kj::Exception &&) {
                    --m_pending;
                    fail(id);
                }));
    }

private:
    struct Call
    {
        Timer timer;
        std::function<void()> failed;
        InputGrace grace;
    };

    template<typename Results>
    static const typename Results::Reader *none()
    {
        return nullptr;
    }

    void taskFailed(kj::Exception &&) override {}
    void onStream(kj::Own<RpcStream> &stream);
    void onReply();
    void onTimeout(std::uint64_t id);
    /// Ends a call that timed out, unless there is input that may contain its reply.
    void endTimedOut(std::uint64_t id);
    /// Ends the call and reports its failure to the caller. Does nothing if the call has ended.
    void fail(std::uint64_t id);
    void close();

    EventLoop &m_loop;
    sigc::signal<void()> m_connected;
    kj::Own<RpcSession> m_session;
    PeerRpc::Peer::Client m_peer = nullptr;
    std::map<std::uint64_t, Call> m_calls;
    std::uint64_t m_lastCall = 0;
    /// Calls on the connection without a reply or an RPC error, including those that timed out.
    std::size_t m_pending = 0;
    int m_timeouts = 0;
    kj::TaskSet m_replies;
    kj::TaskSet m_timedOut;
    kj::Promise<void> m_disconnect = nullptr;
    /// Closes the session from the event loop, since a continuation must not destroy its own
    /// promise.
    Timer m_close;
    RpcConnector m_connector;
};

} // namespace Tarragon
