#include "routing/UsageCaps.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

namespace {

/// Time for which the issuer of a workspace is not looked up again.
constexpr milliseconds IssuerLookupPeriod{ 200 };
/// Time for which an issuer that did not reply is not asked.
constexpr milliseconds SilenceBackoff{ 250 };
/// Retry-After of requests that are refused because the issuer does not reply.
constexpr milliseconds RetryAfterSilence{ 200 };
/// Least Retry-After of requests beyond the cap.
constexpr milliseconds MinRetryAfter{ 20 };
/// Time after the last request after which the state of a workspace is removed.
constexpr seconds Retention{ 10 };

} // namespace

UsageCaps::UsageCaps(const EntryMembership &membership, AskSlot ask)
    : m_membership(membership)
    , m_tenure(membership)
    , m_ask(std::move(ask))
{}

const std::optional<InstanceId> &UsageCaps::issuerOf(const WorkspaceName &name, State &state,
                                                     MonotonicTime now) const
{
    if (now >= state.issuerKnownUntil) {
        state.issuer = m_membership.probableUsageIssuer(name, now);
        state.issuerKnownUntil = now + IssuerLookupPeriod;
    }
    return state.issuer;
}

void UsageCaps::obtain(const Workspace &workspace, RouteVersion version, MonotonicTime now,
                       const DecidedSlot &decided)
{
    State &state = m_workspaces[workspace.name];
    if (version >= state.version) {
        state.cap = *workspace.cap;
        state.version = version;
    }
    state.usedAt = now;
    state.tokens.onDemand(now);
    const std::optional<InstanceId> issuer = issuerOf(workspace.name, state, now);
    const bool hasToken = state.waiting.empty() && state.tokens.take(now);
    if (!hasToken && now < state.deniedUntil) {
        decided(UsageVerdict::OverCap, std::max(state.retryAfter, MinRetryAfter));
        return;
    }
    if (!issuer.has_value() || now < m_issuers[*issuer].silentUntil) {
        if (hasToken) {
            decided(UsageVerdict::Granted, milliseconds(0));
        } else {
            decideWithoutIssuer(state, now, decided);
        }
        return;
    }
    if (!hasToken) {
        state.waiting.push_back(decided);
        m_issuers[*issuer].wanted.insert(workspace.name);
    } else if (now >= state.deniedUntil && state.tokens.expectedNeed(now) > 0) {
        m_issuers[*issuer].wanted.insert(workspace.name);
    }
    if (hasToken) {
        decided(UsageVerdict::Granted, milliseconds(0));
    }
    ask(*issuer, now);
}

void UsageCaps::decideWithoutIssuer(State &state, MonotonicTime now, const DecidedSlot &decided)
{
    if (state.tokens.takeWithoutIssuer(now)) {
        decided(UsageVerdict::Granted, milliseconds(0));
    } else {
        decided(UsageVerdict::Unknown, RetryAfterSilence);
    }
}

UsageRequests UsageCaps::requestsFor(Issuer &issuer, MonotonicTime now)
{
    UsageRequests requests;
    while (!issuer.wanted.empty() && requests.size() < MaxRequestsPerCall) {
        const WorkspaceName name = *issuer.wanted.begin();
        issuer.wanted.erase(issuer.wanted.begin());
        const auto it = m_workspaces.find(name);
        if (it == m_workspaces.end()) {
            continue;
        }
        State &state = it->second;
        state.asked = state.waiting.size();
        UsageRequest request;
        request.workspace = name;
        request.cap = state.cap;
        request.version = state.version;
        request.needed = static_cast<std::uint32_t>(state.asked);
        request.expected = state.tokens.expectedNeed(now);
        request.returned = state.tokens.takeReturned(now);
        requests.push_back(std::move(request));
    }
    return requests;
}

void UsageCaps::ask(const InstanceId &issuer, MonotonicTime now)
{
    Issuer &state = m_issuers[issuer];
    if (state.isAsked || state.wanted.empty()) {
        return;
    }
    const UsageRequests requests = requestsFor(state, now);
    if (requests.empty()) {
        return;
    }
    std::vector<WorkspaceName> asked;
    asked.reserve(requests.size());
    for (const UsageRequest &it : requests) {
        asked.push_back(it.workspace);
    }
    state.isAsked = true;
    if (issuer == m_membership.localEntry().instance) {
        const UsageReplies replies = answer(requests, now);
        onReplies(issuer, asked, now, &replies, now);
        return;
    }
    ++m_counts.calls;
    m_ask(issuer, requests,
          [this, issuer, asked, askedAt = now](const UsageReplies *replies,
                                               MonotonicTime repliedAt) {
              onReplies(issuer, asked, askedAt, replies, repliedAt);
          });
}

void UsageCaps::onReplies(const InstanceId &issuer, const std::vector<WorkspaceName> &asked,
                          MonotonicTime askedAt, const UsageReplies *replies, MonotonicTime now)
{
    m_issuers[issuer].isAsked = false;
    if (replies == nullptr) {
        m_issuers[issuer].silentUntil = now + SilenceBackoff;
    }
    for (const WorkspaceName &name : asked) {
        const UsageReply *found = nullptr;
        if (replies != nullptr) {
            const auto it = std::find_if(
                    replies->begin(), replies->end(),
                    [&name](const UsageReply &reply) { return reply.workspace == name; });
            found = it == replies->end() || !it->isIssuer ? nullptr : &*it;
        }
        apply(name, askedAt, found, now);
    }
    if (replies != nullptr) {
        ask(issuer, now);
    }
}

void UsageCaps::apply(const WorkspaceName &name, MonotonicTime askedAt, const UsageReply *reply,
                      MonotonicTime now)
{
    const auto it = m_workspaces.find(name);
    if (it == m_workspaces.end()) {
        return;
    }
    State &state = it->second;
    if (reply == nullptr) {
        // Another entry may be the issuer by now.
        state.issuerKnownUntil = now;
    } else {
        state.tokens.add(reply->granted, askedAt);
        state.tokens.onReply(reply->utilization, now);
        if (reply->askAgainAfter > milliseconds(0)) {
            state.deniedUntil = now + reply->askAgainAfter;
            state.retryAfter = reply->retryAfter;
        }
    }
    // The slots may call obtain() or giveBack(), so that the waiting requests are taken out first.
    std::deque<DecidedSlot> waiting = std::exchange(state.waiting, {});
    std::size_t asked = std::exchange(state.asked, 0);
    while (!waiting.empty()) {
        const DecidedSlot decided = std::move(waiting.front());
        waiting.pop_front();
        if (state.tokens.take(now)) {
            decided(UsageVerdict::Granted, milliseconds(0));
        } else if (reply == nullptr) {
            decideWithoutIssuer(state, now, decided);
        } else if (asked > 0 || now < state.deniedUntil) {
            decided(UsageVerdict::OverCap, std::max(state.retryAfter, MinRetryAfter));
        } else {
            // Arrived after the call was sent.
            state.waiting.push_back(decided);
        }
        asked -= asked > 0 ? 1 : 0;
    }
    const std::optional<InstanceId> issuer = issuerOf(name, state, now);
    if (!state.waiting.empty() && issuer.has_value()) {
        m_issuers[*issuer].wanted.insert(name);
        ask(*issuer, now);
    }
}

void UsageCaps::giveBack(const WorkspaceName &workspace, MonotonicTime now)
{
    const auto it = m_workspaces.find(workspace);
    if (it != m_workspaces.end()) {
        it->second.tokens.giveBack(now);
    }
}

UsageReplies UsageCaps::answer(const UsageRequests &requests, MonotonicTime now)
{
    m_tenure.observe(now);
    const double fraction = m_membership.usageFraction(now);
    const std::size_t entries = m_membership.entryCount();
    UsageReplies replies;
    replies.reserve(requests.size());
    for (const UsageRequest &it : requests) {
        if (m_membership.usageIssuer(it.workspace, now) == m_membership.localEntry().instance) {
            replies.push_back(
                    m_issuer.issue(it, fraction, entries, m_tenure.of(it.workspace), now));
            const UsageReply &reply = replies.back();
            m_counts.granted += reply.granted;
            m_counts.denied += it.needed - std::min(it.needed, reply.granted);
        } else {
            replies.push_back(UsageReply{ it.workspace });
        }
    }
    return replies;
}

void UsageCaps::removeUnused(MonotonicTime now)
{
    m_tenure.observe(now);
    m_issuer.removeUnused(now);
    std::erase_if(m_workspaces, [now](const auto &it) {
        return it.second.waiting.empty() && now - it.second.usedAt >= Retention;
    });
    std::erase_if(m_issuers, [now](const auto &it) {
        return !it.second.isAsked && it.second.wanted.empty() && it.second.silentUntil <= now;
    });
}

} // namespace Tarragon
