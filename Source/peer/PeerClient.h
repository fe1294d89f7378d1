#pragma once

#include "net/Guard.h"
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
    /// The peer has answered.
    Done,
    /// Nothing of the call was sent.
    NotSent,
    /// No answer came in time, the connection broke or the peer failed; it may have acted.
    Unknown,
};

/// Calls one peer. Connects at once and again whenever the connection ends. Needs the thread's
/// RpcRuntime. Not to be destroyed from within one of its callbacks.
class PeerClient : private kj::TaskSet::ErrorHandler
{
public:
    /// Calls that may wait for an answer; further ones are not sent. Bounds the memory that a peer
    /// which does not read can take.
    static constexpr std::size_t MaxCalls = 256;
    /// Calls without an answer in a row after which the connection is closed. A new connection
    /// works as soon as a partition has healed, while TCP would wait for its next retransmission.
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
    /// Emitted after a connection was made.
    sigc::signal<void()> &connected() { return m_connected; }

    /// Calls a method of Peer. fill(Params::Builder) is called at once if there is a connection;
    /// done(PeerOutcome, const Results::Reader *) once from the loop, with a reader only if Done.
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
        m_answers.add(request.send().then(
                [this, id, done](capnp::Response<Results> &&response) mutable {
                    onAnswer();
                    if (m_calls.erase(id) == 0)
                        return;
                    const typename Results::Reader reader = response;
                    guarded("peer answer", [&] { done(PeerOutcome::Done, &reader); });
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
    };

    template<typename Results>
    static const typename Results::Reader *none()
    {
        return nullptr;
    }

    void taskFailed(kj::Exception &&) override {}
    void onStream(kj::Own<RpcStream> &stream);
    void onAnswer();
    void onTimeout(std::uint64_t id);
    /// Tells the caller that the call has failed, unless it has ended.
    void fail(std::uint64_t id);
    void close();

    EventLoop &m_loop;
    sigc::signal<void()> m_connected;
    kj::Own<RpcSession> m_session;
    PeerRpc::Peer::Client m_peer = nullptr;
    std::map<std::uint64_t, Call> m_calls;
    std::uint64_t m_lastCall = 0;
    /// Calls whose answer or failure has not come, also those that have timed out.
    std::size_t m_pending = 0;
    int m_timeouts = 0;
    kj::TaskSet m_answers;
    kj::Promise<void> m_disconnect = nullptr;
    /// Sessions are closed from a timer, since a continuation must not destroy its own promise.
    Timer m_close;
    RpcConnector m_connector;
};

} // namespace Tarragon
