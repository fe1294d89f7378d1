#pragma once

#include "routing/EntryMembership.h"
#include "routing/TrialIssuer.h"

#include <sigc++/sigc++.h>

namespace Tarragon {

/// Obtains permits for this entry's trials of requests under suspicion. For each service one entry
/// permits the trials of all, so that a request runs in one place at a time wherever its attempts
/// arrive. Without a permit the request is refused.
class RequestTrials
{
public:
    /// Timeout of a call to the issuer.
    static constexpr milliseconds AskTimeout{ 150 };

    /// Called with the issuer's reply; null if there is none.
    using ReplySlot = sigc::slot<void(const TrialReply *reply, MonotonicTime now)>;
    /// Sends a request to the issuer and calls the slot once, at the latest after AskTimeout.
    using AskSlot = sigc::slot<void(const InstanceId &issuer, const TrialRequest &request,
                                    const ReplySlot &replied)>;
    /// Tells the issuer that a trial has ended, and what is known since.
    using EndSlot = sigc::slot<void(const InstanceId &issuer, const SuspectRecord &suspect)>;
    /// Called with whether the request may run now, and if not, after which time it may. A permit
    /// is valid only during the call.
    using DecidedSlot = sigc::slot<void(bool isGranted, milliseconds retryAfter)>;

    RequestTrials(const EntryMembership &membership, SuspectRequests &suspects, AskSlot ask,
                  EndSlot end);

    SuspectRequests &suspects() { return m_suspects; }
    /// Obtains a permit to run the request for at most the duration.
    void obtain(const ServiceId &service, RequestFingerprint request, milliseconds duration,
                MonotonicTime now, const DecidedSlot &decided);
    /// Called when the request whose trial was permitted has ended, with whatever outcome.
    void end(const ServiceId &service, RequestFingerprint request, MonotonicTime now);
    /// Replies to a request of another entry, or of this one.
    TrialReply answer(const TrialRequest &request, MonotonicTime now);
    /// Called when another entry's trial has ended.
    void onEnded(const SuspectRecord &suspect, MonotonicTime now);
    /// Removes state that is not used any more.
    void removeUnused(MonotonicTime now);

private:
    /// Returns the entry that permits trials of a service's requests; nothing before the registered
    /// entries are known.
    std::optional<InstanceId> issuerOf(const ServiceId &service, MonotonicTime now) const;

    const EntryMembership &m_membership;
    SuspectRequests &m_suspects;
    TrialIssuer m_issuer;
    AskSlot m_ask;
    EndSlot m_end;
};

} // namespace Tarragon
