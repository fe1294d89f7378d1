#pragma once

#include "gateway/KindSubscription.h"
#include "gateway/StoreHealth.h"
#include "net/EventLoop.h"
#include "peer/Peer.capnp.h"
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
/// the poll period plus the watcher's pause between two watches, together about one second. Replies
/// state how old the watcher's knowledge is; an entry whose objects become too old reads the store.
template<TimerLoop Loop, StoreReader Store>
class BasicStoreRelay
{
public:
    using Subscription = BasicKindSubscription<Loop, Store>;
    /// Fills in the positions that a watcher is asked about.
    using FillSlot = sigc::slot<void(PeerRpc::Peer::RelayParams::Builder)>;
    /// Receives the reply of a watcher, or null if none came in time.
    using ReplySlot = sigc::slot<void(const PeerRpc::Peer::RelayResults::Reader *)>;
    /// Asks a watcher for changes. Does nothing if it is not a registered entry.
    using AskSlot = sigc::slot<void(const InstanceId &watcher, milliseconds timeout,
                                    const FillSlot &fill, const ReplySlot &onReply)>;

    /// Sets up a relay without subscriptions. With `isFirstStart`, all entries of the deployment
    /// start at the same time for the first time; they learn of each other a few seconds later, so
    /// that the start-up timeouts are longer.
    BasicStoreRelay(Loop &loop, EntryMembership &membership, StoreHealth &health, Store &store,
                    AskSlot ask, bool isFirstStart);
    BasicStoreRelay(const BasicStoreRelay &) = delete;
    BasicStoreRelay &operator=(const BasicStoreRelay &) = delete;

    /// Adds the subscription of a kind whose changes are relayed. Must be called before its list is
    /// read.
    void add(Subscription &subscription);
    /// Starts polling. Called as soon as the registered entries are known; later calls have no
    /// effect.
    void start();
    /// Whether the timers that poll the watchers and check the age of the known objects are
    /// pending. Always the case after start().
    bool hasPendingWork() const { return m_timer.isActive() && m_viewCheckTimer.isActive(); }
    /// Fills the reply to a neighbour that polls this entry for changes.
    void fillReply(PeerRpc::Peer::RelayParams::Reader request,
                   PeerRpc::Peer::RelayResults::Builder reply);

private:
    /// Entries of a failure domain that watch the store. Two, so that one of them may fail without
    /// delaying the others.
    static constexpr std::size_t WatchersPerDomain = 2;
    /// Minimum number of entries in a failure domain for changes to be relayed; in smaller domains
    /// nearly all entries would be watchers anyway.
    static constexpr std::size_t MinRelayDomainSize = 4;
    /// Period of polling a watcher. Together with the watchers' own pause of 0.5 s it keeps relayed
    /// changes at most one second old, of the at least 2.5 s that the platform allows.
    static constexpr milliseconds PollPeriod{ 500 };
    /// Time within which a watcher must reply. Entries of one failure domain reply in a few
    /// milliseconds unless they are overloaded.
    static constexpr milliseconds ReplyTimeout{ 400 };
    /// Time without a reply after which an entry watches the store itself; corresponds to two lost
    /// replies.
    static constexpr milliseconds WatcherTimeout{ 1'200 };
    /// The same timeout during the first start of all entries, and the duration of that start. All
    /// targets register during it, so that watchers reply late; callers arrive only after eight
    /// seconds.
    static constexpr milliseconds FirstStartWatcherTimeout{ 3'000 };
    static constexpr milliseconds FirstStartDuration{ 7'000 };
    /// Time for which a watcher that did not reply is not polled while another one is available.
    static constexpr milliseconds FailedWatcherDelay{ 2'000 };
    /// Replies after which an entry that watches the store relies on the watchers again.
    static constexpr int RepliesBeforeRelay = 3;
    /// Time after a start within which a watcher must reply; afterwards the entry watches the store
    /// itself.
    static constexpr milliseconds DecisionTimeout{ 700 };
    /// The same timeout at the first start of all entries. The registrations of the entries are
    /// known after about two seconds, as lists of them may be stale and their changes are batched
    /// for one second; callers arrive after eight seconds.
    static constexpr milliseconds FirstStartDecisionTimeout{ 5'000 };
    /// Delay after the first start of all entries before watchers start their watches.
    static constexpr milliseconds FirstStartWatchDelay{ 2'500 };
    /// Maximum bytes of changes of a kind in one reply. At this size, 40 neighbours that catch up
    /// at the same time use 8 Mbit/s of the link of each of the two watchers. 64 KiB filled links
    /// of 20 Mbit/s, and the replies arrived too late to be used.
    static constexpr std::size_t MaxReplyBytes = 24'576;
    /// Maximum number of replies in which a neighbour catches up; three replies take 1.5 s. The
    /// higher limit applies while all targets register during the first start, when a neighbour
    /// that is eight seconds behind does not delay any caller.
    static constexpr std::size_t MaxReplies = 3;
    static constexpr std::size_t FirstStartMaxReplies = 16;
    /// Age of the known objects above which an entry that relies on watchers reads the store once,
    /// and the period in which the age is checked. The age and a call that has to be repeated stay
    /// below 2.5 s, the shortest time within which a leaving target must no longer receive
    /// requests.
    static constexpr milliseconds MaxViewAge{ 1'800 };
    static constexpr milliseconds ViewCheckPeriod{ 100 };
    /// Period and timeout of the call that reads the store's revision, with which the subscriptions
    /// are verified: a watch whose response is lost, or whose connection has gone silent, shows
    /// nothing until it times out. The period, the timeout and a repeated call stay below 2.5 s,
    /// the shortest time within which a change must be in force.
    static constexpr milliseconds StoreCheckPeriod{ 1'400 };
    static constexpr milliseconds StoreCheckTimeout{ 800 };
    /// The same period while neighbours poll this entry: they add the poll period to the age of the
    /// known objects, and read the store themselves above MaxViewAge.
    static constexpr milliseconds PolledStoreCheckPeriod{ 900 };

    void poll();
    /// Polls the next of the watchers that have not failed recently.
    void pollWatcher(const std::vector<InstanceId> &watchers);
    void onReply(const InstanceId &watcher, const PeerRpc::Peer::RelayResults::Reader *reply);
    void applyRelayedChanges(PeerRpc::KindNews::Reader news);
    void setSource(ChangeSource source);
    /// Checks the store or the age of what neighbours have relayed, depending on the change source.
    void checkViews();
    /// Reads the kinds once whose known objects are older than MaxViewAge.
    void refreshOldViews();
    bool isWatching() const;
    /// Reads the store's revision and verifies all subscriptions with it.
    void checkStore();
    Subscription *find(const std::string &kind) const;

    Loop &m_loop;
    EntryMembership &m_membership;
    StoreHealth &m_health;
    Store &m_store;
    AskSlot m_ask;
    std::vector<Subscription *> m_subscriptions;
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
    /// Time at which the store was last checked.
    MonotonicTime m_storeCheckedAt;
    StoreCallOf<Store> m_storeCheck;
    bool m_isCheckingStore = false;
    TimerOf<Loop> m_timer;
    TimerOf<Loop> m_viewCheckTimer;
};

extern template class BasicStoreRelay<EventLoop, Platform::ObjectStore>;

/// The relay of a running entry.
using StoreRelay = BasicStoreRelay<EventLoop, Platform::ObjectStore>;

} // namespace Tarragon
