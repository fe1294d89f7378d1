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

/// One request on its way from a caller to a target: takes a slot, gets permission if the request
/// is not idempotent, sends it, streams the response, and tries again where that is allowed.
///
/// The verdict only rises over the attempts of a request, so that a later refusal cannot hide that
/// an earlier attempt may have run.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest>
{
public:
    /// What the owner of the requests of a process does for each of them.
    struct Callbacks
    {
        /// The request waits for a slot.
        std::function<void(const std::shared_ptr<ProxiedRequest> &)> enqueue;
        /// The request no longer waits.
        std::function<void(const ProxiedRequest &)> dequeue;
        /// A slot of the service may have become free.
        std::function<void(const ServiceId &)> slotFreed;
        /// The request has ended; it may be destroyed after the present callback.
        std::function<void(const ProxiedRequest &)> ended;
    };

    ProxiedRequest(ProxyContext &context, const Callbacks &callbacks, std::uint64_t number,
                   HttpExchangePtr exchange, RequestHead head, const ServiceConfiguration &service);
    ~ProxiedRequest();
    ProxiedRequest(const ProxiedRequest &) = delete;
    ProxiedRequest &operator=(const ProxiedRequest &) = delete;

    void start();
    /// Tries to take a slot after waiting; false if there is still none.
    bool tryTarget();
    /// Ends the request without a response of a target.
    void fail(const Failure &failure);

    std::uint64_t number() const { return m_number; }
    const ServiceId &service() const { return m_head.service; }
    RequestClass requestClass() const { return m_rule.requestClass; }
    MonotonicTime deadline() const { return m_deadline; }
    bool isEnded() const { return m_ended; }

private:
    void place();
    bool takeTarget(SlotRefusal &refusal);
    void claimThenSend();
    void onClaimResult(const ClaimResult &answer);
    void sendToTarget();
    HttpRequest outgoingRequest(const Endpoint &endpoint, MonotonicTime until) const;
    void sendCall(const HttpRequest &request);
    bool forward();
    void sendToEntry(const LookupDecider::Entry &entry);

    void onHead(const HttpResponseHead &head);
    void onData(std::string_view data);
    void onComplete();
    void onCallFailure(const HttpFailure &failure);
    void attemptFailed(Verdict verdict, const std::string &error, int status,
                       const std::string &detail);
    void retryOrFail(const Failure &failure);
    void onDeadline();
    void onDisconnected();

    void startResponse(const HttpResponseHead &head, Verdict verdict);
    void keepBody(std::string_view data);
    void endAttempt();
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

    /// What is known over all attempts.
    Verdict m_verdict = Verdict::NotRun;
    std::set<TargetId> m_tried;
    std::set<InstanceId> m_triedEntries;
    std::optional<SlotPermit> m_permit;
    /// Number of the claim of a request that is not idempotent, until it is finished.
    std::optional<std::uint64_t> m_claim;
    /// Whether m_verdict rests on the records of all attempts under the id, here or at another
    /// entry.
    bool m_isVerdictSettled = false;
    bool m_isWaiting = false;
    /// The attempt in progress goes to another entry.
    bool m_isForwarding = false;
    /// The request was handed to a connection and has no final response yet.
    bool m_isSent = false;
    /// The attempt in progress has its complete response.
    bool m_isAnswered = false;
    bool m_responseStarted = false;
    bool m_ended = false;
    /// Status sent to the caller; 0 before.
    int m_status = 0;
    /// Head of a response that is a failure of another entry or a refusal of a target.
    std::optional<HttpResponseHead> m_refusal;
    std::string m_refusalBody;
    KeptResponse m_kept;
    MonotonicTime m_attemptStarted;
    HttpCallPtr m_call;
    Timer m_deadlineTimer;
};

} // namespace Tarragon
