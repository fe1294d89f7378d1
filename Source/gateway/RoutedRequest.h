#pragma once

#include "gateway/GatewayContext.h"
#include "gateway/TargetAttempt.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Tarragon {

/// One request of a caller from its arrival to its final answer. Lives until the answer has been
/// handed over or the caller has gone.
class RoutedRequest : public std::enable_shared_from_this<RoutedRequest>
{
public:
    /// Begins with a request that has arrived.
    static void begin(GatewayContext &context, const HttpExchangePtr &exchange);

    RoutedRequest(GatewayContext &context, HttpExchangePtr exchange);
    RoutedRequest(const RoutedRequest &) = delete;
    RoutedRequest &operator=(const RoutedRequest &) = delete;

private:
    void start();
    /// Places the request and sends it, or refuses it.
    void dispatch();
    void send(const Placement &placement);
    void onDecided(TargetAttempt &attempt);
    /// Whether to try another target after the attempt; if not, notes the reason.
    bool mayRetry(const TargetAttempt &attempt);
    void deliver(TargetAttempt &attempt);
    /// Ends with an answer of the target that was kept while another one was tried, if there is
    /// one; otherwise with a failure of its own.
    void fail(const std::string &outcome, const std::string &reason);
    void refuse(const std::string &reason, microseconds retryAfter);
    void replyOwn(int status, const std::string &outcome, const std::string &reason,
                  microseconds retryAfter);
    void onDeadline();
    void onCallerGone();
    void end(const std::string &outcome, int status, const std::string &reason);
    /// Logs how the request ended; of successful ones those that the sampler takes.
    void logEnd(const std::string &outcome, int status, const std::string &reason,
                microseconds duration) const;
    void logAttempt(const TargetAttempt &attempt) const;
    microseconds left() const { return m_deadline - m_context.loop.now(); }

    GatewayContext &m_context;
    HttpExchangePtr m_exchange;
    Platform::CallerRequest m_request;
    MonotonicTime m_arrivedAt;
    MonotonicTime m_deadline;
    RouteTablePtr m_table;
    const Route *m_route = nullptr;
    ServiceId m_service;
    ServiceDispatcher *m_dispatcher = nullptr;
    std::set<TargetId> m_tried;
    /// Requests that have reached a target, or may have.
    int m_sends = 0;
    Verdict m_verdict = Verdict::NotRun;
    std::unique_ptr<TargetAttempt> m_attempt;
    /// An answer with a failure of the target, for the case that no other target does better.
    std::unique_ptr<TargetAttempt> m_fallback;
    /// The refusal of the last placement.
    std::optional<Placement> m_refusal;
    /// Why the last send was not followed by another one; empty if there was no such decision.
    std::string_view m_noRetry;
    /// Time after which a refused caller was asked to return.
    milliseconds m_retryAfter{ 0 };
    std::vector<std::unique_ptr<TargetAttempt>> m_ended;
    Timer m_timer;
    Timer m_step;
    sigc::connection m_goneConnection;
    /// Keeps the request until it has ended.
    std::shared_ptr<RoutedRequest> m_self;
};

} // namespace Tarragon
