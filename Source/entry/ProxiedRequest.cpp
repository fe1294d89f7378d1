#include "entry/ProxiedRequest.h"

#include "base/Digest.h"
#include "net/HttpSyntax.h"
#include "steering/AtMostOnceRunner.h"
#include "steering/RequestIdSeed.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace Tarragon {

namespace {

/// Status by which targets refuse to start a request.
constexpr int TargetRefusedStatus = 429;

/// Status in metrics of requests whose caller disconnected, since no response was sent.
constexpr int CallerGoneStatus = 499;

/// Largest response body of a non-idempotent request that is kept for later attempts.
constexpr std::size_t MaxKeptBodyBytes = 64 * 1024;

/// Longest part of an unexpected request id that is shown in an error.
constexpr std::size_t MaxShownIdLength = 80;

/// Largest part of the body of a refusal that is read; only its text is passed on, as detail.
constexpr std::size_t MaxRefusalBodyBytes = 4096;

/// Retry-After of failures that may be over soon.
constexpr milliseconds RetryAfterNoCapacity{ 1'000 };

/// Minimum time that a request is expected to need; a slot borrowed for less time is not used.
constexpr microseconds MinRunTime{ 50'000 };

std::string detailOf(const std::string &body)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    return json.is_object() ? json.value("detail", body) : body;
}

milliseconds retryAfterOf(const HttpHeaders &headers)
{
    const std::string text = headers.find("Retry-After").value_or("");
    int n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return std::clamp<milliseconds>(seconds(n), milliseconds(0), seconds(60));
}

} // namespace

ProxiedRequest::ProxiedRequest(ProxyContext &context, const Callbacks &callbacks,
                               std::uint64_t number, HttpExchangePtr exchange, RequestHead head,
                               const ServiceConfiguration &service)
    : m_context(context)
    , m_callbacks(callbacks)
    , m_number(number)
    , m_exchange(std::move(exchange))
    , m_head(std::move(head))
    , m_rule(ruleOf(service, m_exchange->method(), m_head.targetUri))
    , m_connectTimeout(service.connectTimeout)
    , m_started(context.loop.now())
    , m_deadline(m_started + m_head.timeLeft.value_or(service.requestTimeout))
{}

ProxiedRequest::~ProxiedRequest() = default;

void ProxiedRequest::start()
{
    if (!m_rule.idempotent && !parseRequestId(m_head.requestId.value()).has_value()) {
        // No entry runs a non-idempotent request under an id without a seed.
        m_isVerdictSettled = true;
        fail(Failure{ 400, "bad-request", Verdict::NotRun,
                      std::string(RequestIdHeader) + ": found \"" + m_head.requestId.value()
                              + "\", expected the requestIdSeed of a lookup, a dot and a part"
                                " chosen by the caller, since the request is not idempotent",
                      milliseconds(0) });
        return;
    }
    if (m_head.requestId.isEmpty()) {
        m_head.requestId =
                RequestId(m_context.settings.instance.value() + "-" + std::to_string(m_number));
    }
    const std::optional<std::uint64_t> work = m_context.drain.begin(
            "request " + m_head.requestId.value() + " of service " + m_head.service.value(),
            m_started);
    if (!work.has_value()) {
        fail(Failure{ 503, "leaving", Verdict::NotRun,
                      "this entry is shutting down and accepts no new requests",
                      RetryAfterNoCapacity });
        return;
    }
    m_drainWork = *work;
    m_context.state.retryBudget(m_head.service).onRequest(m_started);

    const std::weak_ptr<ProxiedRequest> weak = weak_from_this();
    m_exchange->disconnected().connect([weak] {
        if (const std::shared_ptr<ProxiedRequest> it = weak.lock()) {
            it->onDisconnected();
        }
    });
    m_exchange->drained().connect([weak] {
        const std::shared_ptr<ProxiedRequest> it = weak.lock();
        if (it != nullptr && it->m_call != nullptr) {
            it->m_call->resume();
        }
    });
    m_deadlineTimer = m_context.loop.schedule(m_deadline - m_started, [weak] {
        if (const std::shared_ptr<ProxiedRequest> it = weak.lock()) {
            it->onDeadline();
        }
    });
    dispatch();
}

void ProxiedRequest::dispatch()
{
    const std::optional<RegionId> serving =
            m_context.state.servingRegion(m_head.service, m_head.callerAddress);
    // The entry that forwarded the request has chosen the region. Choosing again, with other
    // weights, could forward requests in a loop.
    const bool servesHere =
            m_head.isForwarded || !serving.has_value() || *serving == m_context.settings.region;
    const bool mustQueue = m_context.state.admission(m_head.service).mustQueue(m_rule.requestClass);
    SlotRefusal refusal = SlotRefusal::NoFreeSlot;
    if (servesHere && !mustQueue && acquireSlot(refusal)) {
        claimThenSend();
        return;
    }
    if (!m_head.isForwarded && forward()) {
        return;
    }
    if (!servesHere) {
        fail(Failure{ 503, "no-capacity", m_verdict,
                      "no entry of region \"" + serving->value()
                              + "\", which serves the caller, is left to forward the request to",
                      RetryAfterNoCapacity });
        return;
    }
    if (refusal != SlotRefusal::NoFreeSlot) {
        fail(Failure{ 503, "no-capacity", m_verdict,
                      "no target of service \"" + m_head.service.value()
                              + "\" at this entry can accept the request",
                      RetryAfterNoCapacity });
        return;
    }
    m_isWaiting = true;
    m_callbacks.enqueue(shared_from_this());
}

bool ProxiedRequest::tryTarget()
{
    SlotRefusal refusal = SlotRefusal::NoFreeSlot;
    if (!acquireSlot(refusal)) {
        return false;
    }
    m_isWaiting = false;
    claimThenSend();
    return true;
}

bool ProxiedRequest::acquireSlot(SlotRefusal &refusal)
{
    const SlotResult result = m_context.state.ledger().acquireAny(
            m_head.service, m_triedTargets, m_context.loop.now(), m_deadline, MinRunTime);
    if (const SlotRefusal *refused = std::get_if<SlotRefusal>(&result)) {
        refusal = *refused;
        return false;
    }
    m_permit = std::get<SlotPermit>(result);
    return true;
}

void ProxiedRequest::claimThenSend()
{
    if (m_rule.idempotent || m_claim.has_value()) {
        sendToTarget();
        return;
    }
    const std::weak_ptr<ProxiedRequest> weak = weak_from_this();
    m_claim = m_context.claims.begin(
            m_head.requestId, m_head.attempt, m_deadline, [weak](const ClaimResult &answer) {
                if (const std::shared_ptr<ProxiedRequest> it = weak.lock()) {
                    it->onClaimResult(answer);
                }
            });
}

void ProxiedRequest::onClaimResult(const ClaimResult &answer)
{
    if (m_ended) {
        return;
    }
    if (std::holds_alternative<ClaimGranted>(answer)) {
        sendToTarget();
        return;
    }
    endAttempt();
    if (const ClaimReplay *kept = std::get_if<ClaimReplay>(&answer)) {
        static_cast<void>(finishClaim(Verdict::Ran));
        replay(kept->response);
        return;
    }
    const Failure &failure = std::get<Failure>(answer);
    // The verdict comes from the at-most-once records; this entry has not sent the request.
    static_cast<void>(finishClaim(failure.verdict));
    fail(failure);
}

void ProxiedRequest::sendToTarget()
{
    const MonotonicTime now = m_context.loop.now();
    const Target *target = m_context.state.findTarget(m_permit->target);
    // The slot and the claim are checked right before the request is sent, since the process may
    // have been paused after it obtained them.
    const bool mayStart = target != nullptr && m_context.state.ledger().mayStart(*m_permit, now)
                          && (!m_claim.has_value() || m_context.claims.start(*m_claim));
    if (!mayStart) {
        endAttempt();
        fail(Failure{ 503, "no-capacity", m_verdict,
                      "the permission to send the request to a target expired before it was sent",
                      RetryAfterNoCapacity });
        return;
    }
    m_triedTargets.insert(target->id);
    m_isForwardAttempt = false;
    HttpRequest request = outgoingRequest(target->http, std::min(m_deadline, m_permit->runUntil));
    request.uri = m_head.targetUri;
    request.headers.remove(AttemptHeader);
    request.headers.remove(CallerHeader);
    sendCall(request);
}

HttpRequest ProxiedRequest::outgoingRequest(const Endpoint &endpoint, MonotonicTime until) const
{
    HttpRequest request;
    request.address = endpoint.address;
    request.port = endpoint.port;
    request.id = m_head.requestId;
    request.method = m_exchange->method();
    request.sharedBody = m_exchange->sharedBody();
    request.connectTimeout = m_connectTimeout;
    // Rounded down, so that the receiver times out no later than this entry.
    request.timeout = std::chrono::floor<milliseconds>(until - m_context.loop.now());
    for (const HttpHeaders::Field &it : m_exchange->headers().fields()) {
        if (!isConnectionHeader(it.first)) {
            request.headers.add(it.first, it.second);
        }
    }
    request.headers.remove("Content-Length");
    request.headers.set("Host", toString(endpoint));
    request.headers.set(RequestIdHeader, m_head.requestId.value());
    request.headers.set(DeadlineHeader,
                        std::to_string(std::max<std::int64_t>(request.timeout.count(), 1)));
    request.headers.remove(ForwardedByHeader);
    return request;
}

void ProxiedRequest::sendCall(const HttpRequest &request)
{
    m_attemptStarted = m_context.loop.now();
    m_isSent = true;
    m_refusal.reset();
    m_refusalBody.clear();
    const std::weak_ptr<ProxiedRequest> weak = weak_from_this();
    HttpCallHandlers handlers;
    handlers.onHead = [weak](const HttpResponseHead &head) {
        if (const std::shared_ptr<ProxiedRequest> it = weak.lock()) {
            it->onHead(head);
        }
    };
    handlers.onData = [weak](std::string_view data) {
        if (const std::shared_ptr<ProxiedRequest> it = weak.lock()) {
            it->onData(data);
        }
    };
    handlers.onComplete = [weak] {
        if (const std::shared_ptr<ProxiedRequest> it = weak.lock()) {
            it->onComplete();
        }
    };
    handlers.onFailure = [weak](const HttpFailure &failure) {
        if (const std::shared_ptr<ProxiedRequest> it = weak.lock()) {
            it->onCallFailure(failure);
        }
    };
    m_call = m_context.client.send(request, std::move(handlers));
}

bool ProxiedRequest::forward()
{
    LookupDecider *decider = m_context.state.decider();
    const std::optional<std::uint32_t> address = parseIpv4(m_head.callerAddress);
    if (decider == nullptr || !address.has_value()) {
        return false;
    }
    const LookupDecision decision =
            decider->decide(m_head.service, *address, stableHash(m_head.callerAddress),
                            m_context.state.entryStates());
    for (std::size_t i = 0; i < decision.entryCount; ++i) {
        const LookupDecider::Entry &entry = decider->entries()[decision.entries[i]];
        // Only the region that the weights assign to the caller may serve the request. Any other
        // would be a shift of traffic that no cap limits.
        const bool isServingRegion = entry.region == decision.servingRegion;
        const bool isOwnDomain = entry.domain == m_context.settings.domain;
        if (!isServingRegion || isOwnDomain || m_triedEntries.count(entry.seat.id) != 0) {
            continue;
        }
        sendToEntry(entry);
        return true;
    }
    return false;
}

void ProxiedRequest::sendToEntry(const LookupDecider::Entry &entry)
{
    const RegionId &region = m_context.state.decider()->regions()[entry.region];
    if (region != m_context.settings.region && m_context.mayUseLink
        && !m_context.mayUseLink(region, m_exchange->body().size())) {
        fail(Failure{ 429, "overload", m_verdict,
                      "the link to region \"" + region.value() + "\" is used up to its cap",
                      RetryAfterNoCapacity });
        return;
    }
    m_triedEntries.insert(entry.seat.id);
    m_isForwardAttempt = true;
    m_context.metrics.recordForward(m_head.service);
    HttpRequest request = outgoingRequest(entry.seat.http, m_deadline);
    request.uri = m_exchange->uri();
    request.headers.set(ForwardedByHeader, m_context.settings.instance.value());
    request.headers.set(CallerHeader, m_head.callerAddress);
    sendCall(request);
}

void ProxiedRequest::onHead(const HttpResponseHead &head)
{
    const std::optional<std::string> id = head.headers.find(RequestIdHeader);
    if (id.has_value() && *id != m_head.requestId.value()) {
        HttpFailure failure;
        failure.stage = HttpStage::AwaitHeaders;
        failure.reason = "found the response to request \"" + id->substr(0, MaxShownIdLength)
                         + "\", expected that to \"" + m_head.requestId.value() + "\"";
        onCallFailure(failure);
        return;
    }
    if (!id.has_value() && m_call->use().exchange > 1) {
        // The earlier responses on the connection had ids, else it would not be used again.
        HttpFailure failure;
        failure.stage = HttpStage::AwaitHeaders;
        failure.onReusedConnection = true;
        failure.reason = "found a response without an id on a connection that was used before,"
                         " expected that to \""
                         + m_head.requestId.value() + "\"";
        onCallFailure(failure);
        return;
    }
    if (!id.has_value()) {
        // Without an id a late copy of this response could not be distinguished from the response
        // to a later request on the same connection.
        m_call->closeAfterResponse();
    }
    const bool isTargetRefusal = !m_isForwardAttempt && head.status == TargetRefusedStatus;
    const bool isEntryFailure = m_isForwardAttempt && head.headers.find(ErrorHeader).has_value();
    if (isTargetRefusal || isEntryFailure) {
        // The request may be sent again with its id, by its caller or by this entry. A late copy of
        // this response could not be told from the response to that.
        m_call->excludeIdFromConnection();
        m_refusal = head;
        return;
    }
    startResponse(head, Verdict::Ran);
}

void ProxiedRequest::startResponse(const HttpResponseHead &head, Verdict verdict)
{
    HttpHeaders headers;
    for (const HttpHeaders::Field &it : head.headers.fields()) {
        if (!isConnectionHeader(it.first)) {
            headers.add(it.first, it.second);
        }
    }
    headers.set(VerdictHeader, std::string(toString(verdict)));
    headers.set(RequestIdHeader, m_head.requestId.value());
    m_verdict = combined(m_verdict, verdict);
    m_responseStarted = true;
    m_status = head.status;
    if (m_claim.has_value()) {
        m_keptResponse.status = head.status;
        m_keptResponse.headers = headers;
    }
    m_exchange->startReply(head.status, headers);
}

void ProxiedRequest::onData(std::string_view data)
{
    if (m_refusal.has_value()) {
        m_refusalBody.append(data.substr(0, MaxRefusalBodyBytes - m_refusalBody.size()));
        return;
    }
    keepBody(data);
    m_exchange->send(data);
    if (m_call != nullptr
        && m_exchange->bufferedBytes() > m_context.settings.responseBuffer.value) {
        m_call->pause();
    }
}

void ProxiedRequest::keepBody(std::string_view data)
{
    if (!m_claim.has_value() || m_keptResponse.isBodyDropped) {
        return;
    }
    if (m_keptResponse.body.size() + data.size() > MaxKeptBodyBytes) {
        m_keptResponse.body.clear();
        m_keptResponse.isBodyDropped = true;
        return;
    }
    m_keptResponse.body.append(data);
}

void ProxiedRequest::onComplete()
{
    m_isResponseComplete = true;
    if (m_refusal.has_value()) {
        const HttpResponseHead refusal = *m_refusal;
        const std::string body = m_refusalBody;
        if (!m_isForwardAttempt) {
            attemptFailed(Verdict::NotRun, "no-capacity", 503,
                          "the target refused the request with status "
                                  + std::to_string(TargetRefusedStatus));
            return;
        }
        // A missing or malformed verdict must not allow a second run.
        const Verdict verdict = parseVerdict(refusal.headers.find(VerdictHeader).value_or(""))
                                        .value_or(Verdict::MayHaveRun);
        m_verdict = combined(m_verdict, verdict);
        m_isVerdictSettled = true;
        endAttempt();
        retryOrFail(Failure{ refusal.status, *refusal.headers.find(ErrorHeader), m_verdict,
                             detailOf(body), retryAfterOf(refusal.headers) });
        return;
    }
    if (!m_isForwardAttempt) {
        const MonotonicTime now = m_context.loop.now();
        m_context.state.health().onSuccess(m_permit->target, now);
        m_context.state.admission(m_head.service).onServed(now - m_attemptStarted);
    }
    static_cast<void>(finishClaim(Verdict::Ran));
    endAttempt();
    m_exchange->finish();
    end(m_status, Verdict::Ran);
}

void ProxiedRequest::onCallFailure(const HttpFailure &failure)
{
    const Verdict verdict =
            failure.stage == HttpStage::Connect ? Verdict::NotRun : Verdict::MayHaveRun;
    const std::string detail =
            std::string(m_isForwardAttempt ? "the call to the other entry failed: "
                                           : "the call to the target failed: ")
            + failure.reason;
    if (!m_isForwardAttempt) {
        m_context.state.health().onFailure(m_permit->target, m_context.loop.now());
    }
    // The timeout of the call is rounded down to milliseconds, so that the call times out up to
    // one millisecond before the deadline.
    const bool isDeadline = m_context.loop.now() >= m_deadline
                            || (failure.timedOut && failure.stage != HttpStage::Connect);
    attemptFailed(verdict, isDeadline ? "deadline" : "target-failed", isDeadline ? 504 : 502,
                  detail);
}

void ProxiedRequest::attemptFailed(Verdict verdict, const std::string &error, int status,
                                   const std::string &detail)
{
    m_verdict = combined(m_verdict, verdict);
    endAttempt();
    if (m_responseStarted) {
        static_cast<void>(finishClaim(Verdict::Ran));
        m_exchange->abort();
        end(status, Verdict::Ran);
        return;
    }
    if (m_claim.has_value() && verdict == Verdict::NotRun) {
        m_context.claims.notStarted(*m_claim);
    }
    const bool mayRetryLater = m_verdict == Verdict::NotRun || m_rule.idempotent;
    retryOrFail(Failure{ status, error, m_verdict, detail,
                         mayRetryLater ? RetryAfterNoCapacity : milliseconds(0) });
}

void ProxiedRequest::retryOrFail(const Failure &failure)
{
    const MonotonicTime now = m_context.loop.now();
    FailedAttempt attempt;
    attempt.verdict = m_verdict;
    attempt.idempotent = m_rule.idempotent;
    attempt.responseStarted = m_responseStarted;
    attempt.deadline = m_deadline;
    attempt.tried = m_triedTargets;
    const int targetsLeft =
            m_context.state.ledger().freeSlots(m_head.service, now) > 0 || !m_head.isForwarded ? 1
                                                                                               : 0;
    const RetryDecision decision = m_context.retryPolicy.decide(
            attempt, targetsLeft, m_context.state.retryBudget(m_head.service), now);
    if (decision != RetryDecision::Retry) {
        fail(failure);
        return;
    }
    m_context.metrics.recordRetry(m_head.service);
    dispatch();
}

void ProxiedRequest::onDeadline()
{
    if (m_ended) {
        return;
    }
    if (m_isSent) {
        m_verdict = combined(m_verdict, Verdict::MayHaveRun);
        if (!m_isForwardAttempt && m_permit.has_value()) {
            m_context.state.health().onFailure(m_permit->target, m_context.loop.now());
        }
    }
    endAttempt();
    if (m_responseStarted) {
        static_cast<void>(finishClaim(Verdict::Ran));
        m_exchange->abort();
        end(504, Verdict::Ran);
        return;
    }
    const milliseconds timeout = std::chrono::duration_cast<milliseconds>(m_deadline - m_started);
    fail(Failure{ 504, "deadline", m_verdict,
                  "the request did not end within its deadline of "
                          + std::to_string(timeout.count()) + " ms",
                  milliseconds(0) });
}

void ProxiedRequest::onDisconnected()
{
    if (m_ended) {
        return;
    }
    if (m_isSent) {
        m_verdict = combined(m_verdict, Verdict::MayHaveRun);
    }
    const Verdict verdict = finishClaim(m_verdict);
    endAttempt();
    end(CallerGoneStatus, verdict);
}

Verdict ProxiedRequest::finishClaim(Verdict verdict)
{
    if (!m_claim.has_value()) {
        return verdict;
    }
    const Verdict verdictForCaller = m_context.claims.finish(*m_claim, verdict, m_keptResponse);
    m_claim.reset();
    m_isVerdictSettled = true;
    return verdictForCaller;
}

void ProxiedRequest::replay(const KeptResponse &response)
{
    if (response.isBodyDropped) {
        fail(Failure{ 409, "already-ran", Verdict::Ran,
                      "the first response is not kept, since its body exceeds "
                              + std::to_string(MaxKeptBodyBytes) + " bytes",
                      milliseconds(0) });
        return;
    }
    m_exchange->reply(response.status, response.headers, response.body);
    end(response.status, Verdict::Ran);
}

void ProxiedRequest::fail(const Failure &failure)
{
    if (m_ended) {
        return;
    }
    Failure final = failure;
    final.verdict = finishClaim(combined(m_verdict, failure.verdict));
    if (!m_rule.idempotent && !m_isVerdictSettled) {
        // The at-most-once records were not consulted about earlier attempts under this id, which
        // may have run at other entries.
        final.verdict = combined(final.verdict, AtMostOnceRunner::verdictOfRefusal(m_head.attempt));
    }
    replyWithFailure(*m_exchange, final, m_head.requestId.value());
    end(final.status, final.verdict);
}

void ProxiedRequest::endAttempt()
{
    const bool isAborted = m_isSent && !m_isForwardAttempt && !m_isResponseComplete;
    m_call.reset();
    m_isSent = false;
    m_isResponseComplete = false;
    if (m_permit.has_value()) {
        if (isAborted) {
            // The target notices the closed connection only after a delay, so that the slot stays
            // in use for the transit margin.
            m_context.state.ledger().abort(m_permit->id, m_context.loop.now());
        } else {
            m_context.state.ledger().release(m_permit->id, m_context.loop.now());
        }
        m_permit.reset();
        m_callbacks.slotFreed(m_head.service);
    }
}

void ProxiedRequest::end(int status, Verdict verdict)
{
    if (m_ended) {
        return;
    }
    m_ended = true;
    if (m_isWaiting) {
        m_isWaiting = false;
        m_callbacks.dequeue(*this);
    }
    m_deadlineTimer.reset();
    if (m_drainWork != 0) {
        m_context.drain.end(m_drainWork);
    }
    m_context.metrics.recordRequest(m_head.service, m_rule.requestClass, status, verdict,
                                    m_context.loop.now() - m_started);
    m_callbacks.ended(*this);
}

} // namespace Tarragon
