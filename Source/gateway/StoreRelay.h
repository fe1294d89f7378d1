#pragma once

#include "gateway/KindSubscription.h"
#include "gateway/MembershipGossip.h"
#include "gateway/StoreHealth.h"
#include "net/EventLoop.h"
#include "routing/EntryMembership.h"

#include <map>
#include <vector>

namespace Tarragon {

/// Relays changes of the store's objects within a failure domain: few entries watch the store and
/// send the changes to the others, so that the number of calls to the store grows with the number
/// of failure domains and not with the number of entries. Two entries of a failure domain are its
/// watchers; every other entry polls them alternately, and watches the store itself while none of
/// them replies. Each entry selects the watchers from its own view of the membership. While these
/// views differ, more entries watch than necessary, never fewer. Relayed changes may be as old as
/// the poll period plus the watcher's pause between two watches, together about one second.
class StoreRelay
{
public:
    /// Sets up a relay without subscriptions. With `isFirstStart`, all entries of the deployment
    /// start at the same time for the first time; they learn of each other a few seconds later, so
    /// that the start-up timeouts are longer.
    StoreRelay(EventLoop &loop, EntryMembership &membership, StoreHealth &health,
               Platform::ObjectStore &store, MembershipGossip &gossip, bool isFirstStart);
    StoreRelay(const StoreRelay &) = delete;
    StoreRelay &operator=(const StoreRelay &) = delete;

    /// Adds the subscription of a kind whose changes are relayed. Must be called before its list is
    /// read.
    void add(KindSubscription &subscription);
    /// Starts polling. Called as soon as the registered entries are known; later calls have no
    /// effect.
    void start();
    /// Fills the reply to a neighbour that polls this entry for changes.
    void fillReply(PeerRpc::Peer::RelayParams::Reader request,
                   PeerRpc::Peer::RelayResults::Builder reply);

private:
    void poll();
    /// Polls the next of the watchers that have not failed recently.
    void pollWatcher(const std::vector<InstanceId> &watchers);
    void onReply(const InstanceId &watcher, const PeerRpc::Peer::RelayResults::Reader *reply);
    void applyRelayedChanges(PeerRpc::KindNews::Reader news);
    void setSource(ChangeSource source);
    bool isWatching() const;
    /// Checks by a separate call whether the store still responds, because a waiting watch does not
    /// show that the connection is interrupted. Runs only while neighbours poll this entry or after
    /// a new watch was started.
    void checkStore();
    KindSubscription *find(const std::string &kind) const;

    EventLoop &m_loop;
    EntryMembership &m_membership;
    StoreHealth &m_health;
    Platform::ObjectStore &m_store;
    MembershipGossip &m_gossip;
    std::vector<KindSubscription *> m_subscriptions;
    ChangeSource m_source = ChangeSource::Undecided;
    /// Before this time the entry does not watch the store: after a first start its view of the
    /// membership may be incomplete, so that it may wrongly select itself as a watcher.
    MonotonicTime m_earliestWatchAt;
    /// From this time on, an entry without a change source watches the store unless a watcher has
    /// replied.
    MonotonicTime m_decisionDeadline;
    /// End of the first start of all entries. Before this time the longer timeout for watchers and
    /// the larger maximum number of replies apply.
    MonotonicTime m_firstStartEndsAt;
    /// Time at which a watcher last replied; nothing before the first reply.
    std::optional<MonotonicTime> m_lastReplyAt;
    /// Replies received since the watcher timeout last expired.
    int m_consecutiveReplies = 0;
    /// Time of the last failed poll of each watcher that has not replied since.
    std::map<InstanceId, MonotonicTime> m_failedAt;
    /// Number of polls so far; selects the watchers alternately.
    std::uint64_t m_pollCount = 0;
    /// Time at which a neighbour last polled this entry.
    std::optional<MonotonicTime> m_lastPolledAt;
    /// Time at which the connection to the store was last checked.
    MonotonicTime m_storeCheckedAt;
    HttpCallPtr m_storeCheck;
    Timer m_timer;
};

} // namespace Tarragon
