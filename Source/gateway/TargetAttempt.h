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

/// One request sent to one target. Holds the answer back until it is whole, or too long to be
/// held, so that an answer which breaks off can be replaced by another target's.
class TargetAttempt
{
public:
    /// Called once when the outcome is known.
    using DecidedSlot = sigc::slot<void(TargetAttempt &)>;

    TargetAttempt(EventLoop &loop, ServiceDispatcher &dispatcher, RouteName route,
                  RequestId request, const Placement &placement, DecidedSlot decided);
    ~TargetAttempt();
    TargetAttempt(const TargetAttempt &) = delete;
    TargetAttempt &operator=(const TargetAttempt &) = delete;

    void send(HttpClient &client, const HttpRequest &request);
    /// Passes the answer on to the caller, also what is still to come of it. The outcome must be
    /// Answered or Failed. Calls ended when nothing more will come.
    void deliver(const HttpExchangePtr &exchange, sigc::slot<void()> ended);

    const TargetId &target() const { return m_target; }
    bool isDecided() const { return m_outcome.has_value(); }
    SendOutcome outcome() const { return m_outcome.value_or(SendOutcome::Abandoned); }
    /// What the outcome says about the request having run.
    Verdict verdict() const { return m_verdict; }
    int status() const { return m_answer.status; }
    const std::string &reason() const { return m_reason; }
    /// Time since sending, or until the answer's head.
    microseconds duration() const;
    const Placement &placement() const { return m_placement; }

private:
    void onHead(const HttpResponseHead &head);
    void onData(std::string_view data);
    void onComplete();
    void onFailure(const HttpFailure &failure);
    /// Judges the answer's head; Answered and Failed are answers of the target.
    SendOutcome judgeHead();
    /// What the answer's head says about the request having run.
    Verdict judgedVerdict() const;
    /// Tells the dispatcher what the answer's head says of the target.
    void reportHead();
    void decide(SendOutcome outcome, Verdict verdict);
    void reportEnd(SendOutcome outcome);
    void endDelivery();
    void onDrained();

    EventLoop &m_loop;
    ServiceDispatcher &m_dispatcher;
    RouteName m_route;
    RequestId m_request;
    TargetId m_target;
    Placement m_placement;
    DecidedSlot m_decided;
    /// Start of the run of the target that the request was sent to.
    std::uint64_t m_bornMs = 0;
    MonotonicTime m_sentAt;
    std::optional<MonotonicTime> m_headAt;
    Platform::TargetAnswer m_answer;
    /// Outcome by the head alone, while the body is still coming.
    SendOutcome m_judged = SendOutcome::Broken;
    std::optional<SendOutcome> m_outcome;
    /// Until the outcome is known the target may be at work.
    Verdict m_verdict = Verdict::MayHaveRun;
    std::string m_reason;
    /// The part of the answer's body that has come and is not passed on yet, up to a bound.
    std::string m_body;
    /// Bytes of the answer's body that have come.
    std::uint64_t m_bytes = 0;
    bool m_isComplete = false;
    bool m_isBroken = false;
    bool m_endReported = false;
    HttpExchangePtr m_exchange;
    sigc::slot<void()> m_ended;
    sigc::connection m_drainedConnection;
    HttpCallPtr m_call;
};

} // namespace Tarragon
