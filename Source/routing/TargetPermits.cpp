#include "routing/TargetPermits.h"

#include <utility>

namespace Tarragon {

namespace {

/// Maximum time from the request for a permit to its use. A process that was suspended in between
/// must not use the permit.
constexpr milliseconds MaxPermitAge{ 250 };
/// Time after which an issuer that did not reply, or that does not issue permits for the target, is
/// asked again. The entries agree on another issuer within a few seconds.
constexpr milliseconds NoIssuerBackoff{ 250 };

} // namespace

TargetPermits::TargetPermits(const EntryMembership &membership, TargetLimits &limits, AskSlot ask)
    : m_membership(membership)
    , m_limits(limits)
    , m_issuer(limits)
    , m_ask(std::move(ask))
{}

std::optional<InstanceId> TargetPermits::issuerOf(const PermitRequest &request,
                                                  MonotonicTime now) const
{
    const PermitKind kind =
            request.coldRate.has_value() ? PermitKind::ColdRate : PermitKind::StatedLimit;
    return m_membership.permitIssuer(kind, request.target, request.domain, now);
}

void TargetPermits::obtain(const DiscoveredTarget &target, std::optional<RequestRate> coldRate,
                           MonotonicTime now, const DecidedSlot &decided)
{
    const PermitRequest request{ target.id, target.domain, m_limits.find(target.id), coldRate };
    const std::optional<InstanceId> issuer = issuerOf(request, now);
    if (!issuer.has_value()) {
        decided(apply(target.id, now, nullptr, now));
        return;
    }
    if (*issuer == m_membership.localEntry().instance) {
        const PermitReply reply = answer(request, now);
        decided(apply(target.id, now, &reply, now));
        return;
    }
    m_ask(*issuer, request,
          [this, id = target.id, askedAt = now, decided](const PermitReply *reply,
                                                         MonotonicTime repliedAt) {
              decided(apply(id, askedAt, reply, repliedAt));
          });
}

PermitReply TargetPermits::answer(const PermitRequest &request, MonotonicTime now)
{
    if (issuerOf(request, now) != m_membership.localEntry().instance) {
        return PermitReply{ false, NoIssuerBackoff, m_limits.find(request.target) };
    }
    double fraction = m_membership.issuableFraction(now);
    if (request.coldRate.has_value()) {
        fraction *= m_membership.coldPermitFraction();
    }
    return m_issuer.issue(request, fraction, now);
}

bool TargetPermits::apply(const TargetId &target, MonotonicTime askedAt, const PermitReply *reply,
                          MonotonicTime now)
{
    if (reply == nullptr) {
        m_limits.setExhaustedUntil(target, now + NoIssuerBackoff);
        return false;
    }
    m_limits.merge(target, reply->limit, now);
    if (!reply->isGranted) {
        m_limits.setExhaustedUntil(target, now + reply->retryAfter);
        return false;
    }
    return now - askedAt <= MaxPermitAge;
}

void TargetPermits::removeUnused(MonotonicTime now)
{
    m_limits.removeUnused(now);
    m_issuer.removeUnused(now);
}

} // namespace Tarragon
