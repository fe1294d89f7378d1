#pragma once

#include "entry/Failure.h"
#include "entry/ProxyContext.h"
#include "entry/RequestHead.h"
#include "net/HttpCall.h"
#include "net/HttpExchange.h"
#include "steering/SlotLedger.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Tarragon {

/// Carries one request from a caller to a target: acquires a slot, obtains permission if the
/// request is not idempotent, sends it, streams the response, and retries where that is allowed.
///
/// The verdict never goes back over the attempts of a request (not-run, may-have-run, ran), so that
/// a later refusal cannot hide that an earlier attempt may have run.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest>
{
public:
    /// Functions of the owner of the requests, called for each of them.
    struct Callbacks
    {
        /// Puts the request into the queue, because no slot is free.
        std::function<void(const std::shared_ptr<ProxiedRequest> &)> enqueue;
        /// Removes the request from the queue.
        std::function<void(const ProxiedRequest &)> dequeue;
        /// Reports that a slot of the service may have become free.
        std::function<void(const ServiceId &)> slotFreed;
        /// Reports that the request has ended. It may be destroyed once the callbacks on the call
        /// stack have returned.
        std::function<void(const ProxiedRequest &)> ended;
    };

    ProxiedRequest(ProxyContext &context, const Callbacks &callbacks, std::uint64_t number,
                   HttpExchangePtr exchange, RequestHead head, const ServiceConfiguration &service);
    ~ProxiedRequest();
    ProxiedRequest(const ProxiedRequest &) = delete;
    ProxiedRequest &operator=(const ProxiedRequest &) = delete;

    /// Starts the request: sends it to a target, forwards, queues or refuses it.
    void start();
    /// Sends the queued request if a slot can be acquired. Returns false if none is free.
    bool tryTarget();
    /// Ends the request with a failure instead of a response of a target.
    void fail(const Failure &failure);

    std::uint64_t number() const { return m_number; }
    const ServiceId &service() const { return m_head.service; }
    RequestClass requestClass() const { return m_rule.requestClass; }
    MonotonicTime deadline() const { return m_deadline; }
    bool isEnded() const { return m_ended; }

private:
    /// Chooses between a target of the own failure domain, another entry, the queue and a refusal.
    void dispatch();
    bool acquireSlot(SlotRefusal &refusal);
    void claimThenSend();
    void onClaimResult(const ClaimResult &answer);
    void sendToTarget();
    HttpRequest outgoingRequest(const Endpoint &endpoint, MonotonicTime until) const;
    void sendCall(const HttpRequest &request);
    /// Sends the request to another entry. Returns false if there is none to send it to.
    bool forward();
    void sendToEntry(const LookupDecider::Entry &entry);

    void onHead(const HttpResponseHead &head);
    void onData(std::string_view data);
    void onComplete();
    void onCallFailure(const HttpFailure &failure);
    /// Ends the attempt in progress with a failure and retries if that is allowed.
    void attemptFailed(Verdict verdict, const std::string &error, int status,
                       const std::string &detail);
    void retryOrFail(const Failure &failure);
    void onDeadline();
    void onDisconnected();

    void startResponse(const HttpResponseHead &head, Verdict verdict);
    /// Keeps a part of the response body for later attempts of a non-idempotent request.
    void keepBody(std::string_view data);
    void endAttempt();
    /// Records the end of the request at its claim, if it has one. Returns the verdict to send.
    Verdict finishClaim(Verdict verdict);
    void replay(const KeptResponse &response);
    void end(int status, Verdict verdict);

    ProxyContext &m_context;
    const Callbacks &m_callbacks;
    std::uint64_t m_number;
    HttpExchangePtr m_exchange;
    RequestHead m_head;
    RequestRule m_rule;
    milliseconds m_connectTimeout;
    MonotonicTime m_started;
    MonotonicTime m_deadline;
    std::uint64_t m_drainWork = 0;

    /// Combined verdict of all attempts so far.
    Verdict m_verdict = Verdict::NotRun;
    std::set<TargetId> m_triedTargets;
    std::set<InstanceId> m_triedEntries;
    std::optional<SlotPermit> m_permit;
    /// Number of the claim of a request that is not idempotent, until the claim is finished.
    std::optional<std::uint64_t> m_claim;
    /// Whether m_verdict is based on the at-most-once records of all attempts under the request id,
    /// read by this entry or by the one that the request was forwarded to.
    bool m_isVerdictSettled = false;
    bool m_isWaiting = false;
    /// Whether the attempt in progress is forwarded to another entry.
    bool m_isForwardAttempt = false;
    /// Whether the request was passed to the HTTP client and the attempt has not ended.
    bool m_isSent = false;
    /// Whether the response of the attempt in progress is complete.
    bool m_isResponseComplete = false;
    bool m_responseStarted = false;
    bool m_ended = false;
    /// Status sent to the caller; 0 before the response has started.
    int m_status = 0;
    /// Head of a response that is a failure of another entry or a refusal of a target, and so is
    /// not streamed to the caller.
    std::optional<HttpResponseHead> m_refusal;
    std::string m_refusalBody;
    KeptResponse m_keptResponse;
    MonotonicTime m_attemptStarted;
    HttpCallPtr m_call;
    Timer m_deadlineTimer;
};

} // namespace Tarragon
