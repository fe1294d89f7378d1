#pragma once

#include "base/Verdict.h"
#include "net/EventLoop.h"
#include "net/HttpClient.h"
#include "net/HttpExchange.h"
#include "platform/RequestCodec.h"
#include "routing/ServiceDispatcher.h"

#include <optional>
#include <string>

namespace Tarragon {

/// A single attempt to send a request to a target. Buffers the response until it is complete or
/// exceeds the buffer, so that a response that breaks off can be replaced by another target's.
class TargetAttempt
{
public:
    /// Called once when the outcome of the attempt is known.
    using DecidedSlot = sigc::slot<void(TargetAttempt &)>;

    /// `isIdempotent` states whether the request may be executed twice.
    TargetAttempt(EventLoop &loop, ServiceDispatcher &dispatcher, RouteName route,
                  bool isIdempotent, RequestId request, const Placement &placement,
                  DecidedSlot decided);
    ~TargetAttempt();
    TargetAttempt(const TargetAttempt &) = delete;
    TargetAttempt &operator=(const TargetAttempt &) = delete;

    void send(HttpClient &client, const HttpRequest &request);
    /// Passes the response on to the caller, including the part still to be received. The outcome
    /// must be Answered or Failed. Calls `ended` when nothing more will follow.
    void deliver(const HttpExchangePtr &exchange, const sigc::slot<void()> &ended);
    /// Resets the call if it is still open. Nothing more is written to the caller, and no slot is
    /// called any more.
    void cancel();

    /// Whether more of the response can arrive.
    bool isOpen() const { return m_call != nullptr && !m_isComplete && !m_isBroken; }
    /// Whether a part of the response has arrived that was not processed.
    bool hasUnreadInput() const { return isOpen() && m_call->hasUnreadInput(); }
    const TargetId &target() const { return m_target; }
    bool isDecided() const { return m_outcome.has_value(); }
    SendOutcome outcome() const { return m_outcome.value_or(SendOutcome::Aborted); }
    /// Whether the request has been executed, according to the outcome.
    Verdict verdict() const { return m_verdict; }
    int status() const { return m_response.status; }
    /// What the response head states; all fields are empty if no head was received.
    const Platform::TargetResponse &response() const { return m_response; }
    const std::string &reason() const { return m_reason; }
    /// Whether the response broke off after its head.
    bool isBroken() const { return m_isBroken; }
    /// Whether the connection ended before the target answered a request that had been sent, so
    /// that the target may have ended.
    bool hasLostConnection() const { return m_hasLostConnection; }
    /// Address and start time of the target's process to which the request was sent.
    const Endpoint &address() const { return m_address; }
    std::uint64_t targetStartMs() const { return m_targetStartMs; }
    const ConnectionUse &connectionUse() const { return m_connectionUse; }
    /// Time from sending to the response head, or until now if no head was received.
    microseconds duration() const;
    const Placement &placement() const { return m_placement; }

private:
    void onHead(const HttpResponseHead &head);
    void onData(std::string_view data);
    void onComplete();
    void onFailure(const HttpFailure &failure);
    /// Returns the outcome according to the response head. Answered and Failed are responses of the
    /// target itself.
    SendOutcome classifyHead();
    /// Whether the response head may belong to an earlier exchange on the connection. Nothing tells
    /// a response without an id from a copy of an earlier one, which a faulty target may send late.
    /// An idempotent request that is refused is sent to another target in either case.
    bool isOriginUnknown() const;
    /// Whether the response states both that the target has run a request that must not be repeated
    /// and that it has not. Callers take the statuses 408, 429 and 503 for the latter; a target
    /// that means it states it by a field.
    bool isContradictory() const;
    /// Whether the request has been executed, according to the response head.
    Verdict headVerdict() const;
    /// Reports load, leaving state, limit and Retry-After in the response head to the dispatcher.
    void reportHead();
    /// Reports the limit in the response head, or that there is none, to the dispatcher.
    void reportLimit();
    void decide(SendOutcome outcome, Verdict verdict);
    void reportEnd(SendOutcome outcome);
    void endDelivery();
    void onDrained();

    EventLoop &m_loop;
    ServiceDispatcher &m_dispatcher;
    RouteName m_route;
    bool m_isIdempotent;
    RequestId m_request;
    TargetId m_target;
    Placement m_placement;
    DecidedSlot m_decided;
    Endpoint m_address;
    std::uint64_t m_targetStartMs = 0;
    ConnectionUse m_connectionUse;
    MonotonicTime m_sentAt;
    std::optional<MonotonicTime> m_headAt;
    Platform::TargetResponse m_response;
    /// Outcome according to the response head, while the body is being received.
    SendOutcome m_headOutcome = SendOutcome::Broken;
    std::optional<SendOutcome> m_outcome;
    /// Until the outcome is known the target may be executing the request.
    Verdict m_verdict = Verdict::MayHaveRun;
    std::string m_reason;
    /// The buffered part of the response body that has not been passed on yet.
    std::string m_body;
    /// Number of body bytes received.
    std::uint64_t m_receivedBytes = 0;
    bool m_isComplete = false;
    bool m_isBroken = false;
    bool m_hasLostConnection = false;
    bool m_endReported = false;
    HttpExchangePtr m_exchange;
    sigc::slot<void()> m_ended;
    sigc::connection m_drainedConnection;
    HttpCallPtr m_call;
};

} // namespace Tarragon
