#pragma once

#include "gateway/CallerResponse.h"
#include "gateway/GatewayContext.h"
#include "gateway/TargetAttempt.h"
#include "net/ConnectionCheck.h"
#include "net/InputGrace.h"

#include <memory>
#include <set>
#include <string>

namespace Tarragon {

/// A request of a caller from its arrival to its final response. Lives until the response has been
/// passed on or the connection to the caller has ended.
class RoutedRequest : public std::enable_shared_from_this<RoutedRequest>
{
public:
    /// Starts to serve a request that has arrived.
    static void begin(GatewayContext &context, const HttpExchangePtr &exchange);

    RoutedRequest(GatewayContext &context, const HttpExchangePtr &exchange);
    RoutedRequest(const RoutedRequest &) = delete;
    RoutedRequest &operator=(const RoutedRequest &) = delete;

private:
    /// Returns the request while no response to its caller has begun, and null from then on. What
    /// arrives later decides nothing about the request.
    static std::shared_ptr<RoutedRequest> lockOpen(const std::weak_ptr<RoutedRequest> &request);

    void start();
    /// Checks the request's key against the table in force, if the table has changed since the last
    /// check. Ends the request and returns false if it may not be handled.
    bool authorize();
    /// Selects a target and sends the request to it, or refuses the request.
    void dispatch();
    /// Sends the request to a limited or cold target once a permit is granted; otherwise selects
    /// another target.
    void obtainPermit(const Placement &placement);
    void onPermitDecided(const Placement &placement, bool isGranted);
    void send(const Placement &placement);
    /// Obtains permission for one run of the request under its workspace's cap; otherwise refuses
    /// it.
    void obtainUsage();
    void onUsageDecided(UsageVerdict verdict, milliseconds retryAfter);
    /// Runs a request under suspicion once a trial of it is permitted; otherwise refuses it.
    void obtainTrial();
    void onTrialDecided(bool isGranted, milliseconds retryAfter);
    /// Returns the permit for a trial, if the request has one.
    void endTrial();
    void onDecided(TargetAttempt &attempt);
    /// Checks whether the target has ended under the request, and then continues.
    void checkTarget(const TargetAttempt &attempt);
    void onTargetChecked(const TargetId &target, TargetEnding ending, ConnectionOutcome outcome);
    /// Answers the caller, or tries another target.
    void continueAfter(TargetAttempt &attempt);
    /// Whether to try another target after the attempt; if not, records the reason.
    bool mayRetry(const TargetAttempt &attempt);
    /// Passes the response of the current attempt on to the caller.
    void deliver();
    /// Ends what could lead to a response: timers and the permit for a trial. Called when a
    /// response begins, and when the request ends without one.
    void stopTrying();
    void onAttemptCancelled(const TargetAttempt &attempt, CancelCause cause);
    /// Ends the request with the failure response of an earlier attempt if one was kept, otherwise
    /// with a failure response of this entry.
    void fail(const std::string &outcome, const std::string &reason);
    void refuse(const std::string &reason, microseconds retryAfter);
    void refuseOverCap(milliseconds retryAfter);
    void replyLocally(int status, const std::string &outcome, const std::string &reason,
                      microseconds retryAfter);
    void replyUnauthorized();
    void onDeadline();
    void onConnectionEnded();
    void end(const std::string &outcome, int status, const std::string &reason);
    /// Logs the end of the request; a successful one only if the sampler admits it.
    void logEnd(const std::string &outcome, int status, const std::string &reason,
                microseconds duration) const;
    microseconds remainingTime() const { return m_deadline - m_context.loop.now(); }

    GatewayContext &m_context;
    /// The request as received. Only m_response can write to the caller.
    std::shared_ptr<const HttpExchange> m_exchange;
    Platform::CallerRequest m_request;
    /// Identifies what targets would run, over all attempts of the caller.
    RequestFingerprint m_fingerprint;
    MonotonicTime m_arrivedAt;
    MonotonicTime m_deadline;
    RouteTablePtr m_table;
    const Route *m_route = nullptr;
    /// Table against which the key was last checked; null before the first check.
    RouteTablePtr m_accessTable;
    /// Workspace of the request, part of m_accessTable; null if it has none.
    const Workspace *m_workspace = nullptr;
    ServiceId m_service;
    ServiceDispatcher *m_dispatcher = nullptr;
    std::set<TargetId> m_triedTargets;
    /// Number of attempts that reached a target or may have reached it.
    int m_sendCount = 0;
    /// Number of permits for limited and cold targets that were denied.
    int m_deniedPermits = 0;
    /// Workspace under whose cap the request holds a token for one run; nothing if it holds none.
    std::optional<WorkspaceName> m_tokenOf;
    /// Whether a trial of this request, which is under suspicion, is permitted.
    bool m_hasTrial = false;
    Verdict m_verdict = Verdict::NotRun;
    /// The attempts and the response. Its fallback is an attempt with a failure response of its
    /// target, kept in case no other target succeeds.
    CallerResponse m_response;
    /// The last placement if it had no target.
    std::optional<Placement> m_refusal;
    /// Why no further attempt followed the last one; empty if no such decision was made.
    std::string_view m_noRetryReason;
    /// Retry-After time sent to a refused caller; 0 if none.
    milliseconds m_retryAfter{ 0 };
    std::unique_ptr<ConnectionCheck> m_targetCheck;
    Timer m_deadlineTimer;
    InputGrace m_inputGrace;
    Timer m_retryTimer;
    sigc::connection m_disconnectedConnection;
    /// Keeps this object alive until the request has ended.
    std::shared_ptr<RoutedRequest> m_selfReference;
};

} // namespace Tarragon
