#include "gateway/RoutedRequest.h"

#include "base/Digest.h"
#include "document/JsonFields.h"
#include "gateway/AttemptLog.h"
#include "net/HttpStatus.h"
#include "net/LogLine.h"
#include "routing/RequestAccess.h"
#include "routing/RetryLimits.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <utility>

namespace Tarragon {

namespace {

/// Retry-After of requests that arrive before the first route table. A new entry receives it within
/// a few calls to the store.
constexpr milliseconds RetryAfterWithoutTable{ 300 };
/// Retry-After of requests that arrive during a planned stop: other entries accept them at once.
constexpr milliseconds RetryAfterWhileStopping{ 1 };
/// Retry-After of requests whose route and workspace allow no common region. Only operators can
/// change that.
constexpr milliseconds RetryAfterWithoutRegion{ 1'000 };
/// Timeout of connecting to a target. A connection within or between regions takes up to 40 ms; a
/// lost SYN packet is retransmitted after one second, and another target is tried before that.
constexpr milliseconds ConnectTimeout{ 250 };
/// Number of permits that may be denied to a request before only targets that need none are
/// considered. Each costs a call to another entry.
constexpr int MaxDeniedPermits = 2;

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("gateway");
    return instance;
}

} // namespace

void RoutedRequest::begin(GatewayContext &context, const HttpExchangePtr &exchange)
{
    const std::shared_ptr<RoutedRequest> request =
            std::make_shared<RoutedRequest>(context, exchange);
    request->m_selfReference = request;
    request->m_disconnectedConnection = exchange->disconnected().connect(
            sigc::mem_fun(*request, &RoutedRequest::onConnectionEnded));
    request->start();
}

RoutedRequest::RoutedRequest(GatewayContext &context, const HttpExchangePtr &exchange)
    : m_context(context)
    , m_exchange(exchange)
    , m_request(Platform::decodeRequest(*m_exchange))
    , m_fingerprint(fingerprintOf({ m_exchange->method(), m_request.host, m_exchange->uri(),
                                    m_request.callerIdentity, m_request.affinityKey,
                                    m_exchange->body() }))
    , m_arrivedAt(context.loop.now())
    , m_table(context.state.table())
    , m_response(
              context.loop, exchange, [this] { stopTrying(); },
              [this](const TargetAttempt &attempt, CancelCause cause) {
                  onAttemptCancelled(attempt, cause);
              })
{}

std::shared_ptr<RoutedRequest> RoutedRequest::lockOpen(const std::weak_ptr<RoutedRequest> &request)
{
    std::shared_ptr<RoutedRequest> result = request.lock();
    return result != nullptr && result->m_response.isOpen() ? result : nullptr;
}

void RoutedRequest::start()
{
    if (m_table == nullptr) {
        refuse("no-route-table", RetryAfterWithoutTable);
        return;
    }
    m_route = m_table->find(m_request.host, m_request.path);
    if (m_route == nullptr) {
        replyLocally(HttpStatus::NotFound, "no-route", "no route for the host and path",
                     microseconds(0));
        return;
    }
    if (!authorize()) {
        return;
    }
    m_service = m_context.state.serviceSelector().nextService(*m_route);
    m_dispatcher = m_context.state.dispatcher(m_service);
    const milliseconds limit =
            std::min(m_route->timeout, m_request.timeLeft.value_or(m_route->timeout));
    m_deadline = m_arrivedAt + limit;
    const std::optional<MonotonicTime> &stopTime = m_context.state.stopTime();
    if (stopTime.has_value() && m_deadline > *stopTime) {
        // It could still be running when the process exits, and would end without a response.
        refuse("stopping", RetryAfterWhileStopping);
        return;
    }
    m_context.state.retryBudget(m_service).onRequest(m_arrivedAt);
    if (m_dispatcher == nullptr) {
        refuse("unknown-service", RetryAfterWithoutTable);
        return;
    }
    m_deadlineTimer = m_context.loop.schedule(limit, [this] { onDeadline(); });
    dispatch();
}

bool RoutedRequest::authorize()
{
    if (m_context.state.table() == m_accessTable) {
        return true;
    }
    m_accessTable = m_context.state.table();
    const Access access = checkAccess(*m_accessTable, *m_route, m_request.accessKey);
    m_workspace = access.workspace;
    if (access.verdict == AccessVerdict::UnknownKey) {
        if (m_verdict == Verdict::NotRun) {
            replyUnauthorized();
        } else {
            fail("failed", "the workspace's key is no longer valid");
        }
        return false;
    }
    if (access.verdict == AccessVerdict::NoCommonRegion) {
        if (m_verdict == Verdict::NotRun) {
            refuse("no-common-region", RetryAfterWithoutRegion);
        } else {
            fail("failed", "no region is allowed both by the route and by the workspace");
        }
        return false;
    }
    if (m_accessTable->workspaces.has_value()) {
        Platform::setForwardedWorkspace(m_request, m_workspace);
    }
    return true;
}

void RoutedRequest::dispatch()
{
    if (!authorize()) {
        return;
    }
    if (remainingTime() <= microseconds(0)) {
        // The request arrived after its deadline, or this process was suspended before a retry.
        onDeadline();
        return;
    }
    if (m_workspace != nullptr && m_workspace->cap.has_value() && !m_tokenOf.has_value()) {
        obtainUsage();
        return;
    }
    if (!m_hasTrial && m_context.state.suspects().isSuspect(m_fingerprint, m_context.loop.now())) {
        obtainTrial();
        return;
    }
    PlacementQuery query;
    query.route = m_route;
    query.workspace = m_workspace;
    query.requestHash = stableHash(m_request.id.value());
    if (m_route->hasObjectAffinity && !m_request.affinityKey.empty()) {
        query.objectHash = stableHash(m_request.affinityKey, stableHash(m_route->name.value()));
    }
    query.triedTargets = m_triedTargets;
    query.timeLeft = remainingTime();
    query.mayNeedPermit = m_deniedPermits < MaxDeniedPermits;
    const Placement placement = m_dispatcher->place(query, m_context.loop.now());
    if (placement.needsPermit) {
        obtainPermit(placement);
        return;
    }
    if (placement.target.has_value()) {
        send(placement);
        return;
    }
    m_refusal = placement;
    if (m_verdict == Verdict::NotRun) {
        refuse(std::string(toString(placement.reason)), placement.retryAfter);
    } else {
        fail("failed",
             "no target available for a retry: " + std::string(toString(placement.reason)));
    }
}

void RoutedRequest::obtainUsage()
{
    m_context.usageCaps.obtain(
            *m_workspace, m_accessTable->version, m_context.loop.now(),
            [&caps = m_context.usageCaps, &loop = m_context.loop, name = m_workspace->name,
             weak = weak_from_this()](UsageVerdict verdict, milliseconds retryAfter) {
                if (const std::shared_ptr<RoutedRequest> self = lockOpen(weak)) {
                    self->onUsageDecided(verdict, retryAfter);
                } else if (verdict == UsageVerdict::Granted) {
                    caps.giveBack(name, loop.now());
                }
            });
}

void RoutedRequest::onUsageDecided(UsageVerdict verdict, milliseconds retryAfter)
{
    if (verdict == UsageVerdict::Granted) {
        m_tokenOf = m_workspace->name;
        dispatch();
    } else if (m_verdict != Verdict::NotRun) {
        fail("failed", "a retry would exceed the workspace's cap");
    } else if (verdict == UsageVerdict::OverCap) {
        refuseOverCap(retryAfter);
    } else {
        refuse("usage-unknown", retryAfter);
    }
}

void RoutedRequest::obtainTrial()
{
    m_context.trials.obtain(m_service, m_fingerprint,
                            std::chrono::ceil<milliseconds>(remainingTime()), m_context.loop.now(),
                            [&trials = m_context.trials, &loop = m_context.loop,
                             service = m_service, fingerprint = m_fingerprint,
                             weak = weak_from_this()](bool isGranted, milliseconds retryAfter) {
                                if (const std::shared_ptr<RoutedRequest> self = lockOpen(weak)) {
                                    self->onTrialDecided(isGranted, retryAfter);
                                } else if (isGranted) {
                                    trials.end(service, fingerprint, loop.now());
                                }
                            });
}

void RoutedRequest::onTrialDecided(bool isGranted, milliseconds retryAfter)
{
    const SuspectRecord suspect = m_context.state.suspects().find(m_fingerprint);
    LOG4CPLUS_INFO(logger(), LogLine("gateway", "trial")
                                     .add("request", m_request.id)
                                     .add("fingerprint", m_fingerprint)
                                     .add("service", m_service)
                                     .add("endings", suspect.endings.size())
                                     .add("granted", isGranted)
                                     .add("retryAfterMs", retryAfter)
                                     .text());
    if (isGranted) {
        m_hasTrial = true;
        dispatch();
    } else if (m_verdict == Verdict::NotRun) {
        refuse("suspect", retryAfter);
    } else {
        fail("failed", "targets ended under the request, no trial is permitted");
    }
}

void RoutedRequest::endTrial()
{
    if (std::exchange(m_hasTrial, false)) {
        m_context.trials.end(m_service, m_fingerprint, m_context.loop.now());
    }
}

void RoutedRequest::obtainPermit(const Placement &placement)
{
    const KnownTarget *target = m_dispatcher->findTarget(*placement.target);
    m_context.permits.obtain(target->registration, placement.coldRate, m_context.loop.now(),
                             [weak = weak_from_this(), placement](bool isGranted) {
                                 if (const std::shared_ptr<RoutedRequest> self = lockOpen(weak)) {
                                     self->onPermitDecided(placement, isGranted);
                                 }
                             });
}

void RoutedRequest::onPermitDecided(const Placement &placement, bool isGranted)
{
    m_context.metrics.recordPermit(m_service, isGranted);
    if (isGranted && m_dispatcher->stillAccepts(*placement.target, m_context.loop.now())) {
        send(placement);
        return;
    }
    ++m_deniedPermits;
    dispatch();
}

void RoutedRequest::send(const Placement &placement)
{
    const KnownTarget *target = m_dispatcher->findTarget(*placement.target);
    const milliseconds time = std::chrono::duration_cast<milliseconds>(remainingTime());
    HttpRequest request =
            Platform::encodeForTarget(m_request, *m_exchange, target->registration, time);
    request.connectTimeout = std::min(ConnectTimeout, time);
    // The deadline timer ends the request first; the timeout of the HTTP call is only a fallback.
    request.timeout = time + milliseconds(1'000);
    m_triedTargets.insert(*placement.target);
    ++m_sendCount;
    m_response
            .add(std::make_unique<TargetAttempt>(
                    m_context.loop, *m_dispatcher, m_route->name, m_route->isIdempotent,
                    m_request.id, placement,
                    [this](TargetAttempt &attempt) { onDecided(attempt); }))
            .send(m_context.client, request);
}

void RoutedRequest::onDecided(TargetAttempt &attempt)
{
    const std::shared_ptr<RoutedRequest> self = shared_from_this();
    m_context.metrics.recordSend(m_service, describe(attempt.outcome()));
    if (attempt.outcome() == SendOutcome::Unreachable) {
        --m_sendCount;
    }
    m_verdict = combined(m_verdict, attempt.verdict());
    if (attempt.verdict() != Verdict::NotRun) {
        // A retry would be another run.
        m_tokenOf.reset();
    }
    if (attempt.outcome() != SendOutcome::Answered) {
        logFailedAttempt(m_request.id, m_fingerprint, attempt);
    }
    if (attempt.hasLostConnection()) {
        checkTarget(attempt);
        return;
    }
    if (attempt.outcome() == SendOutcome::Answered || attempt.outcome() == SendOutcome::Failed) {
        m_context.state.suspects().onCompleted(m_fingerprint, m_context.loop.now());
    }
    continueAfter(attempt);
}

void RoutedRequest::checkTarget(const TargetAttempt &attempt)
{
    const TargetEnding ending = endingOf(attempt.target(), attempt.targetStartMs());
    // The request may end during the check; the result counts nevertheless.
    m_targetCheck = std::make_unique<ConnectionCheck>(
            m_context.loop, attempt.address().address, attempt.address().port, ConnectTimeout,
            [self = shared_from_this(), target = attempt.target(), ending](
                    ConnectionOutcome outcome) { self->onTargetChecked(target, ending, outcome); });
}

void RoutedRequest::onTargetChecked(const TargetId &target, TargetEnding ending,
                                    ConnectionOutcome outcome)
{
    if (outcome == ConnectionOutcome::Refused) {
        SuspectRequests &suspects = m_context.state.suspects();
        suspects.onTargetEnded(m_fingerprint, ending, m_context.loop.now());
        LOG4CPLUS_WARN(logger(),
                       LogLine("gateway", "target-ended")
                               .add("request", m_request.id)
                               .add("fingerprint", m_fingerprint)
                               .add("target", target)
                               .add("endings", suspects.find(m_fingerprint).endings.size())
                               .text());
    }
    if (m_response.isOpen()) {
        // No other attempt follows before the check has ended.
        continueAfter(*m_response.current());
    }
}

void RoutedRequest::continueAfter(TargetAttempt &attempt)
{
    endTrial();
    if (attempt.outcome() == SendOutcome::Answered) {
        deliver();
        return;
    }
    if (mayRetry(attempt)) {
        if (attempt.outcome() == SendOutcome::Failed) {
            m_response.keepCurrentAsFallback();
        } else {
            m_response.giveUpCurrent();
        }
        m_retryTimer = m_context.loop.schedule(microseconds(0), [this] { dispatch(); });
        return;
    }
    if (attempt.outcome() == SendOutcome::Failed) {
        deliver();
    } else if (m_verdict == Verdict::NotRun) {
        refuse("targets-" + describe(attempt.outcome()), DeclinedRetryAfter);
    } else {
        fail("failed", attempt.reason());
    }
}

bool RoutedRequest::mayRetry(const TargetAttempt &attempt)
{
    const bool isSafe = attempt.verdict() == Verdict::NotRun || m_route->isIdempotent;
    if (!isSafe) {
        m_noRetryReason = "may-have-run";
        return false;
    }
    if (m_sendCount >= m_route->maxAttempts) {
        m_noRetryReason = "attempts";
        return false;
    }
    if (remainingTime() < MinRetryTime) {
        m_noRetryReason = "time";
        return false;
    }
    if (attempt.outcome() == SendOutcome::Unreachable) {
        // The request reached no target, so that the retry does not count against the retry budget.
        return true;
    }
    if (!m_context.state.retryBudget(m_service).tryRetry(m_context.loop.now())) {
        m_noRetryReason = "budget";
        return false;
    }
    m_context.metrics.recordRetry(m_service);
    return true;
}

void RoutedRequest::deliver()
{
    const int status = m_response.current()->status();
    m_response.deliverCurrent([this, status] {
        const TargetAttempt &attempt = *m_response.current();
        if (attempt.isBroken()) {
            end("broken-off", status, attempt.reason());
        } else {
            end("answered", status, "");
        }
    });
}

void RoutedRequest::stopTrying()
{
    m_deadlineTimer.reset();
    m_retryTimer.reset();
    endTrial();
}

void RoutedRequest::onAttemptCancelled(const TargetAttempt &attempt, CancelCause cause)
{
    if (!attempt.isDecided()) {
        m_context.metrics.recordSend(m_service, describe(attempt.outcome()));
    }
    if (cause != CancelCause::GivenUp) {
        // Attempts that are given up are logged as failed.
        logCancelledAttempt(m_request.id, attempt, cause);
    }
}

void RoutedRequest::fail(const std::string &outcome, const std::string &reason)
{
    if (m_response.hasFallback()) {
        m_response.restoreFallback();
        deliver();
        return;
    }
    replyLocally(outcome == "timeout" ? HttpStatus::GatewayTimeout : HttpStatus::BadGateway,
                 outcome, reason, microseconds(0));
}

void RoutedRequest::refuse(const std::string &reason, microseconds retryAfter)
{
    m_context.metrics.recordRefusal(m_service, reason);
    replyLocally(HttpStatus::ServiceUnavailable, "refused", reason, retryAfter);
}

void RoutedRequest::refuseOverCap(milliseconds retryAfter)
{
    static const std::string reason = "over-cap";
    m_context.metrics.recordRefusal(m_service, reason);
    replyLocally(HttpStatus::TooManyRequests, "refused", reason, retryAfter);
}

void RoutedRequest::replyLocally(int status, const std::string &outcome, const std::string &reason,
                                 microseconds retryAfter)
{
    const std::shared_ptr<RoutedRequest> self = shared_from_this();
    const milliseconds rounded = std::chrono::ceil<milliseconds>(retryAfter);
    m_retryAfter = rounded;
    const nlohmann::json body = { { "error", outcome },
                                  { "detail", reason },
                                  { "verdict", std::string(toString(m_verdict)) } };
    if (m_response.reply(status, Platform::encodeLocalResponseHeaders(m_request.id, rounded),
                         dumpJson(body))) {
        end(outcome, status, reason);
    }
}

void RoutedRequest::replyUnauthorized()
{
    static const std::string outcome = "unauthorized";
    static const std::string reason = "no known key of a workspace";
    const std::shared_ptr<RoutedRequest> self = shared_from_this();
    const nlohmann::json body = { { "error", outcome }, { "detail", reason } };
    if (m_response.reply(HttpStatus::Unauthorized,
                         Platform::encodeUnauthorizedHeaders(m_request.id), dumpJson(body))) {
        end(outcome, HttpStatus::Unauthorized, reason);
    }
}

void RoutedRequest::onDeadline()
{
    const std::shared_ptr<RoutedRequest> self = shared_from_this();
    if (const TargetAttempt *const attempt = m_response.current()) {
        if (m_inputGrace.mustWait(attempt->hasUnreadInput(), m_context.loop.now())) {
            m_deadlineTimer = m_context.loop.schedule(microseconds(0), [this] { onDeadline(); });
            return;
        }
        m_verdict = combined(m_verdict, Verdict::MayHaveRun);
        logFailedAttempt(m_request.id, m_fingerprint, *attempt);
        m_response.giveUpCurrent();
    }
    if (m_verdict == Verdict::NotRun) {
        refuse("out-of-time", DeclinedRetryAfter);
        return;
    }
    fail("timeout", "no response before the deadline");
}

void RoutedRequest::onConnectionEnded()
{
    end(std::string(toString(m_exchange->endCause())), 0, m_exchange->failure());
}

void RoutedRequest::end(const std::string &outcome, int status, const std::string &reason)
{
    const std::shared_ptr<RoutedRequest> self = std::move(m_selfReference);
    if (self == nullptr) {
        return;
    }
    stopTrying();
    if (m_tokenOf.has_value() && m_response.current() == nullptr && m_verdict == Verdict::NotRun) {
        m_context.usageCaps.giveBack(*m_tokenOf, m_context.loop.now());
    }
    m_disconnectedConnection.disconnect();
    const microseconds duration = m_context.loop.now() - m_arrivedAt;
    const RouteName route = m_route == nullptr ? RouteName("none") : m_route->name;
    m_context.metrics.recordRequest(route, outcome, duration);
    if (m_workspace != nullptr) {
        m_context.metrics.recordWorkspaceRequest(m_workspace->name, outcome, duration);
    }
    logEnd(outcome, status, reason, duration);
    m_response.close();
    // An attempt may be on the call stack, so that they are destroyed later.
    m_context.loop.post([self] { self->m_response.destroyAttempts(); });
}

void RoutedRequest::logEnd(const std::string &outcome, int status, const std::string &reason,
                           microseconds duration) const
{
    std::uint64_t skipped = 0;
    if (outcome == "answered" && !HttpStatus::isServerError(status)) {
        const std::optional<std::uint64_t> admitted =
                m_context.successSampler.admit(m_context.loop.now());
        if (!admitted.has_value()) {
            return;
        }
        skipped = *admitted;
    }
    LogLine line("gateway", "request");
    line.add("request", m_request.id)
            .add("route", m_route == nullptr ? RouteName("none") : m_route->name)
            .add("version", m_table == nullptr ? RouteVersion() : m_table->version)
            .add("service", m_service)
            .add("outcome", outcome)
            .add("status", status)
            .add("verdict", toString(m_verdict))
            .add("sends", m_sendCount)
            .add("durationMs", duration);
    if (const TargetAttempt *const attempt = m_response.current()) {
        line.add("target", attempt->target())
                .add("connection", attempt->connectionUse().connection)
                .add("exchange", attempt->connectionUse().exchange)
                .add("expectedWaitMs", attempt->placement().expectedWait)
                .add("expectedWorkMs", attempt->placement().expectedProcessingTime);
        if (attempt->placement().coldRate.has_value()) {
            line.add("cold", true);
        }
    }
    if (m_workspace != nullptr) {
        line.add("workspace", m_workspace->name);
    }
    if (m_refusal.has_value() && m_refusal->busyTarget.has_value()) {
        line.add("busyHome", *m_refusal->busyTarget)
                .add("homeWaitMs", m_refusal->expectedWait)
                .add("homeWorkMs", m_refusal->expectedProcessingTime)
                .add("waitLimitMs", m_refusal->maxWait);
    }
    if (!reason.empty()) {
        line.add("reason", reason);
    }
    if (!m_noRetryReason.empty()) {
        line.add("noRetry", m_noRetryReason);
    }
    if (m_retryAfter > milliseconds(0)) {
        line.add("retryAfterMs", m_retryAfter);
    }
    if (m_deniedPermits > 0) {
        line.add("deniedPermits", m_deniedPermits);
    }
    if (skipped > 0) {
        line.add("skipped", skipped);
    }
    LOG4CPLUS_INFO(logger(), line.text());
}

} // namespace Tarragon
