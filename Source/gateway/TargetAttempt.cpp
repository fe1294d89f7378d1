#include "gateway/TargetAttempt.h"

#include "net/HttpStatus.h"
#include "net/LogLine.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <utility>

namespace Tarragon {

namespace {

/// Maximum response body that is buffered until it is complete. Longer ones are streamed to the
/// caller, which would otherwise wait for the transfer from the target and for the transfer to
/// itself one after the other.
constexpr std::size_t MaxBufferedResponseBytes = 24 * 1024;
/// Bytes buffered for a slow caller above which reading from the target is paused.
constexpr std::size_t MaxCallerBacklogBytes = 256 * 1024;

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("gateway");
    return instance;
}

/// Whether the status states that the request has not been executed.
bool isNotRunStatus(int status)
{
    return status == HttpStatus::RequestTimeout || status == HttpStatus::MisdirectedRequest
           || status == HttpStatus::TooManyRequests || status == HttpStatus::ServiceUnavailable;
}

} // namespace

TargetAttempt::TargetAttempt(EventLoop &loop, ServiceDispatcher &dispatcher, RouteName route,
                             bool isIdempotent, RequestId request, const Placement &placement,
                             DecidedSlot decided)
    : m_loop(loop)
    , m_dispatcher(dispatcher)
    , m_route(std::move(route))
    , m_isIdempotent(isIdempotent)
    , m_request(std::move(request))
    , m_target(*placement.target)
    , m_placement(placement)
    , m_decided(std::move(decided))
{}

TargetAttempt::~TargetAttempt()
{
    cancel();
}

void TargetAttempt::send(HttpClient &client, const HttpRequest &request)
{
    m_sentAt = m_loop.now();
    m_address = Endpoint{ request.address, request.port };
    if (const KnownTarget *known = m_dispatcher.findTarget(m_target)) {
        m_targetStartMs = known->registration.startTimeMs;
    }
    m_dispatcher.onSent(m_target, m_sentAt);
    HttpCallHandlers handlers;
    handlers.onHead = [this](const HttpResponseHead &head) { onHead(head); };
    handlers.onData = [this](std::string_view data) { onData(data); };
    handlers.onComplete = [this] { onComplete(); };
    handlers.onFailure = [this](const HttpFailure &failure) { onFailure(failure); };
    m_call = client.send(request, std::move(handlers));
    m_connectionUse = m_call->use();
}

microseconds TargetAttempt::duration() const
{
    return m_headAt.value_or(m_loop.now()) - m_sentAt;
}

void TargetAttempt::onHead(const HttpResponseHead &head)
{
    m_headAt = m_loop.now();
    m_response = Platform::decodeTargetResponse(head);
    m_headOutcome = classifyHead();
    if (m_headOutcome == SendOutcome::Broken) {
        // No part of this response may reach the caller, and further bytes on the connection cannot
        // be assigned to a request.
        m_call.reset();
        decide(SendOutcome::Broken, Verdict::MayHaveRun);
        return;
    }
    if (m_headOutcome != SendOutcome::WrongTarget) {
        reportHead();
    }
    const bool isRefusal =
            m_headOutcome == SendOutcome::Declined || m_headOutcome == SendOutcome::WrongTarget;
    if (isRefusal || isNotRunStatus(m_response.status)) {
        // The request may be sent again, by its caller or by this entry.
        m_call->excludeIdFromConnection();
    }
    if (isRefusal && m_response.id.isEmpty()) {
        // A copy of a refusal without an id could not be told from a refusal of the next request,
        // so that the connection is not used again.
        m_call.reset();
        decide(m_headOutcome, isOriginUnknown() ? Verdict::MayHaveRun : Verdict::NotRun);
    }
}

bool TargetAttempt::isOriginUnknown() const
{
    return m_response.id.isEmpty() && m_connectionUse.exchange > 1 && !m_isIdempotent;
}

bool TargetAttempt::isContradictory() const
{
    if (m_isIdempotent) {
        return false;
    }
    const bool isSuccess = HttpStatus::isSuccess(m_response.status);
    const bool statesRun = isSuccess || m_response.hasResponseSeal;
    const bool statesNotRun = m_response.isNotExecuted ? isSuccess
                                                       : isNotRunStatus(m_response.status)
                                                                 && !m_response.isMisdirected;
    return statesRun && statesNotRun;
}

void TargetAttempt::reportHead()
{
    if (m_response.load.has_value()) {
        m_dispatcher.onReport(m_target, *m_response.load, *m_headAt);
    }
    if (m_response.isLeaving) {
        m_dispatcher.onLeavingAnnounced(m_target, m_targetStartMs);
    }
    reportLimit();
    milliseconds grantedBackoff{ 0 };
    if (m_response.retryAfter.has_value()) {
        grantedBackoff =
                m_dispatcher.onBackoffRequested(m_target, *m_response.retryAfter, *m_headAt);
    }
    if (m_response.isRetryAfterMalformed
        || grantedBackoff != m_response.retryAfter.value_or(grantedBackoff)) {
        LOG4CPLUS_WARN(logger(),
                       LogLine("gateway", "pause-corrected")
                               .add("target", m_target)
                               .add("readable", !m_response.isRetryAfterMalformed)
                               .add("statedMs", m_response.retryAfter.value_or(grantedBackoff))
                               .add("grantedMs", grantedBackoff)
                               .text());
    }
}

void TargetAttempt::reportLimit()
{
    if (m_response.isLimitMalformed) {
        m_dispatcher.onLimitMalformed(m_target);
        return;
    }
    const bool isFromTarget = m_response.hasResponseSeal || m_response.isNotExecuted;
    if (m_response.limit.has_value() || isFromTarget) {
        m_dispatcher.onLimitStated(m_target, m_targetStartMs, m_response.limit, *m_headAt);
    }
}

SendOutcome TargetAttempt::classifyHead()
{
    // A response with another id, even a refusal such as a late copy, does not state anything about
    // this request.
    if (!m_response.id.isEmpty() && m_response.id != m_request) {
        m_reason = "response to another request: found id \"" + m_response.id.value()
                   + "\", expected \"" + m_request.value() + "\"";
        return SendOutcome::Broken;
    }
    if (isContradictory()) {
        m_reason = "status " + std::to_string(m_response.status)
                   + " is contradictory: the target states both that the request has run and that"
                     " it has not";
        return SendOutcome::Broken;
    }
    if (m_response.isMisdirected || m_response.isNotExecuted) {
        if (isOriginUnknown()) {
            m_reason = "refusal without an id on a connection that was used before";
        }
        if (m_response.isMisdirected) {
            return isOriginUnknown() ? SendOutcome::Broken : SendOutcome::WrongTarget;
        }
        return SendOutcome::Declined;
    }
    if (isOriginUnknown()) {
        m_reason = "response without an id on a connection that was used before";
        return SendOutcome::Broken;
    }
    if (HttpStatus::isSuccess(m_response.status) && !m_response.hasResponseSeal) {
        m_reason = "status " + std::to_string(m_response.status) + " without the target's seal";
        return SendOutcome::Broken;
    }
    if (isNotRunStatus(m_response.status) && !m_response.hasResponseSeal) {
        m_reason = "status " + std::to_string(m_response.status)
                   + " without the target's seal, so that its origin is unknown";
        return SendOutcome::Broken;
    }
    return HttpStatus::isServerError(m_response.status) ? SendOutcome::Failed
                                                        : SendOutcome::Answered;
}

void TargetAttempt::onData(std::string_view data)
{
    m_receivedBytes += data.size();
    if (m_exchange != nullptr) {
        const HttpExchangePtr exchange = m_exchange;
        // Sending may close the caller's connection for lack of memory, which cancels the attempt.
        exchange->send(data);
        if (m_exchange != nullptr && exchange->bufferedBytes() > MaxCallerBacklogBytes) {
            m_call->pause();
        }
        return;
    }
    m_body.append(data);
    if (m_body.size() > MaxBufferedResponseBytes) {
        // The response is not being delivered yet, and its body may be unbounded.
        m_call->pause();
    }
    if (!isDecided() && m_body.size() > MaxBufferedResponseBytes) {
        decide(m_headOutcome, headVerdict());
    }
}

Verdict TargetAttempt::headVerdict() const
{
    const bool hasRun =
            m_headOutcome == SendOutcome::Answered || m_headOutcome == SendOutcome::Failed;
    return hasRun ? Verdict::Ran : Verdict::NotRun;
}

void TargetAttempt::onComplete()
{
    m_isComplete = true;
    if (m_headOutcome == SendOutcome::Answered) {
        m_dispatcher.onResponseSize(m_route, ByteCount{ m_receivedBytes });
    }
    reportEnd(m_headOutcome);
    if (m_exchange != nullptr) {
        endDelivery();
        return;
    }
    decide(m_headOutcome, headVerdict());
}

void TargetAttempt::onFailure(const HttpFailure &failure)
{
    m_isBroken = true;
    m_reason = failure.reason;
    if (m_exchange != nullptr) {
        reportEnd(SendOutcome::Broken);
        endDelivery();
        return;
    }
    const bool notSent = failure.stage == HttpStage::Connect || !failure.anySent;
    m_hasLostConnection = !notSent && !failure.timedOut && !m_headAt.has_value();
    const bool isDeclaredNotRun =
            m_headOutcome == SendOutcome::Declined || m_headOutcome == SendOutcome::WrongTarget;
    if (notSent) {
        decide(SendOutcome::Unreachable, Verdict::NotRun);
    } else if (isDeclaredNotRun) {
        decide(m_headOutcome, Verdict::NotRun);
    } else {
        decide(SendOutcome::Broken, m_headAt.has_value() ? Verdict::Ran : Verdict::MayHaveRun);
    }
}

void TargetAttempt::decide(SendOutcome outcome, Verdict verdict)
{
    if (isDecided()) {
        return;
    }
    m_outcome = outcome;
    m_verdict = verdict;
    const bool isResponse = outcome == SendOutcome::Answered || outcome == SendOutcome::Failed;
    if (!isResponse || m_isComplete) {
        reportEnd(outcome);
    }
    // The slot may destroy this attempt.
    const DecidedSlot decided = m_decided;
    decided(*this);
}

void TargetAttempt::reportEnd(SendOutcome outcome)
{
    if (std::exchange(m_endReported, true)) {
        return;
    }
    m_dispatcher.onEnded(m_target, m_route, outcome, duration(),
                         m_placement.expectedWait > microseconds(0), m_loop.now());
}

void TargetAttempt::deliver(const HttpExchangePtr &exchange, const sigc::slot<void()> &ended)
{
    if (m_isComplete) {
        exchange->reply(m_response.status, m_response.forwardedHeaders, m_body);
        ended();
        return;
    }
    exchange->startReply(m_response.status, m_response.forwardedHeaders);
    m_exchange = exchange;
    m_ended = ended;
    m_drainedConnection =
            exchange->drained().connect(sigc::mem_fun(*this, &TargetAttempt::onDrained));
    exchange->send(std::exchange(m_body, {}));
    if (m_exchange == nullptr) {
        return;
    }
    if (m_isBroken) {
        endDelivery();
    } else {
        m_call->resume();
    }
}

void TargetAttempt::cancel()
{
    m_decided = DecidedSlot();
    m_ended = sigc::slot<void()>();
    m_drainedConnection.disconnect();
    m_exchange = nullptr;
    m_call.reset();
    reportEnd(SendOutcome::Aborted);
}

void TargetAttempt::onDrained()
{
    if (m_exchange != nullptr && m_call != nullptr
        && m_exchange->bufferedBytes() <= MaxCallerBacklogBytes) {
        m_call->resume();
    }
}

void TargetAttempt::endDelivery()
{
    const HttpExchangePtr exchange = std::move(m_exchange);
    m_exchange = nullptr;
    m_drainedConnection.disconnect();
    if (m_isComplete) {
        exchange->finish();
    } else {
        exchange->abort();
    }
    const sigc::slot<void()> ended = m_ended;
    ended();
}

} // namespace Tarragon
