#include "routing/RequestTrials.h"

#include <utility>

namespace Tarragon {

namespace {

/// Maximum time from the request for a permit to its use. A process that was suspended in between
/// must not use the permit.
constexpr milliseconds MaxPermitAge{ 250 };
/// Retry-After of a request whose issuer does not reply. The entries agree on another issuer within
/// a few seconds.
constexpr milliseconds NoIssuerRetryAfter{ 500 };

} // namespace

RequestTrials::RequestTrials(const EntryMembership &membership, SuspectRequests &suspects,
                             AskSlot ask, EndSlot end)
    : m_membership(membership)
    , m_suspects(suspects)
    , m_issuer(suspects)
    , m_ask(std::move(ask))
    , m_end(std::move(end))
{}

std::optional<InstanceId> RequestTrials::issuerOf(const ServiceId &service, MonotonicTime now) const
{
    return m_membership.trialIssuer(service, now);
}

void RequestTrials::obtain(const ServiceId &service, RequestFingerprint request,
                           milliseconds duration, MonotonicTime now, const DecidedSlot &decided)
{
    const TrialRequest question{ service, m_suspects.find(request), duration };
    const std::optional<InstanceId> issuer = issuerOf(service, now);
    if (!issuer.has_value()) {
        decided(false, NoIssuerRetryAfter);
        return;
    }
    if (*issuer == m_membership.localEntry().instance) {
        const TrialReply reply = answer(question, now);
        decided(reply.isGranted, reply.retryAfter);
        return;
    }
    m_ask(*issuer, question,
          [this, askedAt = now, decided](const TrialReply *reply, MonotonicTime repliedAt) {
              if (reply == nullptr) {
                  decided(false, NoIssuerRetryAfter);
                  return;
              }
              m_suspects.merge(reply->suspect, repliedAt);
              const bool isUsable = reply->isGranted && repliedAt - askedAt <= MaxPermitAge;
              decided(isUsable, isUsable ? milliseconds(0) : reply->retryAfter);
          });
}

void RequestTrials::end(const ServiceId &service, RequestFingerprint request, MonotonicTime now)
{
    const std::optional<InstanceId> issuer = issuerOf(service, now);
    if (!issuer.has_value()) {
        return;
    }
    if (*issuer == m_membership.localEntry().instance) {
        m_issuer.end(request);
    } else {
        m_end(*issuer, m_suspects.find(request));
    }
}

void RequestTrials::onEnded(const SuspectRecord &suspect, MonotonicTime now)
{
    // The outcome must be known before the next trial is permitted.
    m_suspects.merge(suspect, now);
    m_issuer.end(suspect.fingerprint);
}

TrialReply RequestTrials::answer(const TrialRequest &request, MonotonicTime now)
{
    if (issuerOf(request.service, now) != m_membership.localEntry().instance) {
        m_suspects.merge(request.suspect, now);
        return TrialReply{ false, NoIssuerRetryAfter,
                           m_suspects.find(request.suspect.fingerprint) };
    }
    return m_issuer.issue(request, now);
}

void RequestTrials::removeUnused(MonotonicTime now)
{
    m_suspects.removeUnused(now);
    m_issuer.removeUnused(now);
}

} // namespace Tarragon
