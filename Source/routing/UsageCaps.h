#pragma once

#include "routing/EntryMembership.h"
#include "routing/UsageIssuer.h"
#include "routing/UsageTokens.h"

#include <sigc++/sigc++.h>

#include <deque>
#include <map>
#include <set>

namespace Tarragon {

/// Whether a request of a workspace with a cap may run.
enum class UsageVerdict {
    Granted,
    /// The workspace's requests of all entries together exceed its cap.
    OverCap,
    /// The issuer does not reply, so that it is not known whether the cap is exceeded.
    Unknown,
};

/// Keeps the requests of workspaces within their caps over all entries together. For each workspace
/// one entry issues tokens, each of which permits one request; the others fetch them in batches. A
/// fixed share of the cap for each entry would stay unused at entries without requests.
///
/// Answers the load of a workspace that sends many times its usual through many entries at once.
class UsageCaps
{
public:
    /// Timeout of a call to the issuer.
    static constexpr milliseconds AskTimeout{ 150 };
    /// Maximum number of workspaces in one call, which bounds its size.
    static constexpr std::size_t MaxRequestsPerCall = 64;

    /// Called with the issuer's replies; null if there are none.
    using RepliesSlot = sigc::slot<void(const UsageReplies *replies, MonotonicTime now)>;
    /// Sends requests to the issuer and calls the slot once, at the latest after AskTimeout.
    using AskSlot = sigc::slot<void(const InstanceId &issuer, const UsageRequests &requests,
                                    const RepliesSlot &replied)>;
    /// Called with the verdict, and the time after which a refused request may be sent again.
    using DecidedSlot = sigc::slot<void(UsageVerdict verdict, milliseconds retryAfter)>;

    /// Numbers since the start, for metrics.
    struct Counts
    {
        /// Tokens that this entry granted as an issuer, and that it denied to waiting requests.
        std::uint64_t granted = 0;
        std::uint64_t denied = 0;
        /// Calls to issuers on other entries.
        std::uint64_t calls = 0;
    };

    UsageCaps(const EntryMembership &membership, AskSlot ask);

    /// Obtains a token for one request of the workspace, which must have a cap. The slot may be
    /// called immediately. A token is used, or must be given back, during the call.
    void obtain(const Workspace &workspace, RouteVersion version, MonotonicTime now,
                const DecidedSlot &decided);
    /// Returns the token of a request that has not run.
    void giveBack(const WorkspaceName &workspace, MonotonicTime now);
    /// Replies to the requests of another entry, or of this one.
    UsageReplies answer(const UsageRequests &requests, MonotonicTime now);
    /// Removes state that is not used any more, and observes which entries are live. Must be called
    /// at least once a second.
    void removeUnused(MonotonicTime now);
    /// Returns the number of workspaces of which this entry holds or has asked for tokens lately.
    std::size_t activeWorkspaces() const { return m_workspaces.size(); }
    const Counts &counts() const { return m_counts; }

private:
    struct State
    {
        UsageCap cap;
        RouteVersion version;
        UsageTokens tokens;
        std::deque<DecidedSlot> waiting;
        /// Number of the waiting requests that the call in progress asks tokens for.
        std::size_t asked = 0;
        MonotonicTime usedAt;
        /// Issuer, looked up again after a short time.
        std::optional<InstanceId> issuer;
        MonotonicTime issuerKnownUntil;
        /// Until when requests are refused without asking, and the time to tell their callers.
        MonotonicTime deniedUntil;
        milliseconds retryAfter{ 0 };
    };
    struct Issuer
    {
        bool isAsked = false;
        /// Until when the issuer is not asked, because it did not reply.
        MonotonicTime silentUntil;
        /// Workspaces of which tokens are needed.
        std::set<WorkspaceName> wanted;
    };

    const std::optional<InstanceId> &issuerOf(const WorkspaceName &name, State &state,
                                              MonotonicTime now) const;
    /// Decides a request without asking the issuer.
    void decideWithoutIssuer(State &state, MonotonicTime now, const DecidedSlot &decided);
    /// Asks the issuer for the tokens that are needed, unless a call is in progress.
    void ask(const InstanceId &issuer, MonotonicTime now);
    UsageRequests requestsFor(Issuer &issuer, MonotonicTime now);
    void onReplies(const InstanceId &issuer, const std::vector<WorkspaceName> &asked,
                   MonotonicTime askedAt, const UsageReplies *replies, MonotonicTime now);
    void apply(const WorkspaceName &name, MonotonicTime askedAt, const UsageReply *reply,
               MonotonicTime now);

    const EntryMembership &m_membership;
    UsageTenure m_tenure;
    UsageIssuer m_issuer;
    AskSlot m_ask;
    std::map<WorkspaceName, State> m_workspaces;
    std::map<InstanceId, Issuer> m_issuers;
    Counts m_counts;
};

} // namespace Tarragon
