#pragma once

#include "routing/DiscoveredTarget.h"
#include "routing/EntryMembership.h"
#include "routing/PermitIssuer.h"

#include <sigc++/sigc++.h>

#include <optional>

namespace Tarragon {

/// Obtains permits for this entry's requests to limited and cold targets. For each target one entry
/// issues the permits of all, so that the sum keeps the limit wherever the requests arrive; a fixed
/// share for each entry would be unused at entries without requests, and the first requests of all
/// entries together would exceed it. Without a permit, a request goes to another target or is
/// refused.
class TargetPermits
{
public:
    /// Timeout of a call to the issuer; within it, other targets can still be tried.
    static constexpr milliseconds AskTimeout{ 150 };

    /// Called with the issuer's reply; null if there is none.
    using ReplySlot = sigc::slot<void(const PermitReply *reply, MonotonicTime now)>;
    /// Sends a request to the issuer and calls the slot once, at the latest after AskTimeout.
    using AskSlot = sigc::slot<void(const InstanceId &issuer, const PermitRequest &request,
                                    const ReplySlot &replied)>;
    /// Called with whether the request may be sent, immediately. A permit is valid only during the
    /// call.
    using DecidedSlot = sigc::slot<void(bool isGranted)>;

    TargetPermits(const EntryMembership &membership, TargetLimits &limits, AskSlot ask);

    /// Obtains a permit for one request to the target. `coldRate` is the rate that it tolerates
    /// while it is cold; nothing if it is warm.
    void obtain(const DiscoveredTarget &target, std::optional<RequestRate> coldRate,
                MonotonicTime now, const DecidedSlot &decided);
    /// Replies to a request of another entry, or of this one.
    PermitReply answer(const PermitRequest &request, MonotonicTime now);
    /// Removes state that is not used any more.
    void removeUnused(MonotonicTime now);

private:
    std::optional<InstanceId> issuerOf(const PermitRequest &request, MonotonicTime now) const;
    /// Applies the reply to a request sent at `askedAt`. Returns whether a permit was granted.
    bool apply(const TargetId &target, MonotonicTime askedAt, const PermitReply *reply,
               MonotonicTime now);

    const EntryMembership &m_membership;
    TargetLimits &m_limits;
    PermitIssuer m_issuer;
    AskSlot m_ask;
};

} // namespace Tarragon
