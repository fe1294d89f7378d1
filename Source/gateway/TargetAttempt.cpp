#include "gateway/TargetAttempt.h"

#include "net/HttpStatus.h"
#include "net/LogLine.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <utility>

namespace Tarragon {

namespace {

/// Longest answer that is held until it is whole. Longer ones are passed on as they come, since the
/// caller would wait for the way to the target and the way to itself one after the other.
constexpr std::size_t HeldAnswerBytes = 24 * 1024;
/// Bytes waiting for a slow caller above which the target is not read.
constexpr std::size_t CallerBacklogBytes = 256 * 1024;

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("gateway");
    return instance;
}

/// Whether the status states that the request has not been run.
bool isNotRunStatus(int status)
{
    return status == HttpStatus::RequestTimeout || status == HttpStatus::MisdirectedRequest
           || status == HttpStatus::TooManyRequests || status == HttpStatus::ServiceUnavailable;
}

} // namespace

TargetAttempt::TargetAttempt(EventLoop &loop, ServiceDispatcher &dispatcher, RouteName route,
                             RequestId request, const Placement &placement, DecidedSlot decided)
    : m_loop(loop)
    , m_dispatcher(dispatcher)
    , m_route(std::move(route))
    , m_request(std::move(request))
    , m_target(*placement.target)
    , m_placement(placement)
    , m_decided(std::move(decided))
{}

TargetAttempt::~TargetAttempt()
{
    m_drainedConnection.disconnect();
    reportEnd(SendOutcome::Abandoned);
}

void TargetAttempt::send(HttpClient &client, const HttpRequest &request)
{
    m_sentAt = m_loop.now();
    if (const KnownTarget *known = m_dispatcher.target(m_target)) {
        m_bornMs = known->entry.bornMs;
    }
    m_dispatcher.onSent(m_target, m_sentAt);
    HttpCallHandlers handlers;
    handlers.onHead = [this](const HttpResponseHead &head) { onHead(head); };
    handlers.onData = [this](std::string_view data) { onData(data); };
    handlers.onComplete = [this] { onComplete(); };
    handlers.onFailure = [this](const HttpFailure &failure) { onFailure(failure); };
    m_call = client.send(request, std::move(handlers));
}

microseconds TargetAttempt::duration() const
{
    return m_headAt.value_or(m_loop.now()) - m_sentAt;
}

void TargetAttempt::onHead(const HttpResponseHead &head)
{
    m_headAt = m_loop.now();
    m_answer = Platform::decodeAnswer(head);
    m_judged = judgeHead();
    if (m_judged == SendOutcome::Broken) {
        // Nothing of it may reach the caller, and what follows belongs to nobody.
        m_call.reset();
        decide(SendOutcome::Broken, Verdict::MayHaveRun);
        return;
    }
    if (m_judged != SendOutcome::WrongTarget) {
        reportHead();
    }
}

void TargetAttempt::reportHead()
{
    if (m_answer.load.has_value()) {
        m_dispatcher.onReport(m_target, *m_answer.load, *m_headAt);
    }
    if (m_answer.isLeaving) {
        m_dispatcher.onLeaving(m_target, m_bornMs);
    }
    milliseconds granted{ 0 };
    if (m_answer.pause.has_value()) {
        granted = m_dispatcher.onPauseAsked(m_target, *m_answer.pause, *m_headAt);
    }
    if (m_answer.isPauseUnreadable || granted != m_answer.pause.value_or(granted)) {
        LOG4CPLUS_WARN(logger(), LogLine("gateway", "pause-corrected")
                                         .add("target", m_target)
                                         .add("readable", !m_answer.isPauseUnreadable)
                                         .add("statedMs", m_answer.pause.value_or(granted))
                                         .add("grantedMs", granted)
                                         .text());
    }
}

SendOutcome TargetAttempt::judgeHead()
{
    // Also a late copy of a refusal says nothing of this request.
    if (!m_answer.id.isEmpty() && m_answer.id != m_request) {
        m_reason = "answer to another request, id \"" + m_answer.id.value() + "\"";
        return SendOutcome::Broken;
    }
    if (m_answer.isOtherTarget) {
        return SendOutcome::WrongTarget;
    }
    if (m_answer.isDeclined) {
        return SendOutcome::Declined;
    }
    if (HttpStatus::isSuccess(m_answer.status) && !m_answer.isSealed) {
        m_reason = "success without the target's seal";
        return SendOutcome::Broken;
    }
    if (isNotRunStatus(m_answer.status) && !m_answer.isSealed) {
        m_reason = "status " + std::to_string(m_answer.status) + " of unknown origin";
        return SendOutcome::Broken;
    }
    return HttpStatus::isServerError(m_answer.status) ? SendOutcome::Failed : SendOutcome::Answered;
}

void TargetAttempt::onData(std::string_view data)
{
    m_bytes += data.size();
    if (m_exchange != nullptr) {
        m_exchange->send(data);
        if (m_exchange->bufferedBytes() > CallerBacklogBytes) {
            m_call->pause();
        }
        return;
    }
    m_body.append(data);
    if (m_body.size() > HeldAnswerBytes) {
        // Nobody takes it for now, and it may have no end.
        m_call->pause();
    }
    if (!isDecided() && m_body.size() > HeldAnswerBytes) {
        decide(m_judged, judgedVerdict());
    }
}

Verdict TargetAttempt::judgedVerdict() const
{
    const bool hasRun = m_judged == SendOutcome::Answered || m_judged == SendOutcome::Failed;
    return hasRun ? Verdict::Ran : Verdict::NotRun;
}

void TargetAttempt::onComplete()
{
    m_isComplete = true;
    if (m_judged == SendOutcome::Answered) {
        m_dispatcher.onAnswerBytes(m_route, ByteCount{ m_bytes });
    }
    reportEnd(m_judged);
    if (m_exchange != nullptr) {
        endDelivery();
        return;
    }
    decide(m_judged, judgedVerdict());
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
    const bool saidNotRun =
            m_judged == SendOutcome::Declined || m_judged == SendOutcome::WrongTarget;
    if (notSent) {
        decide(SendOutcome::Unreachable, Verdict::NotRun);
    } else if (saidNotRun) {
        decide(m_judged, Verdict::NotRun);
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
    const bool isAnswer = outcome == SendOutcome::Answered || outcome == SendOutcome::Failed;
    if (!isAnswer || m_isComplete) {
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
    m_dispatcher.onEnded(m_target, m_route, outcome, duration(), m_placement.wait > microseconds(0),
                         m_loop.now());
}

void TargetAttempt::deliver(const HttpExchangePtr &exchange, sigc::slot<void()> ended)
{
    if (m_isComplete) {
        exchange->reply(m_answer.status, m_answer.forwarded, m_body);
        ended();
        return;
    }
    m_exchange = exchange;
    m_ended = std::move(ended);
    m_drainedConnection =
            exchange->drained().connect(sigc::mem_fun(*this, &TargetAttempt::onDrained));
    exchange->startReply(m_answer.status, m_answer.forwarded);
    exchange->send(m_body);
    m_body.clear();
    if (m_isBroken) {
        endDelivery();
    } else {
        m_call->resume();
    }
}

void TargetAttempt::onDrained()
{
    if (m_exchange != nullptr && m_call != nullptr
        && m_exchange->bufferedBytes() <= CallerBacklogBytes) {
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
