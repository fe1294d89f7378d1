#pragma once

#include "gateway/ChangeLog.h"
#include "gateway/StoreAccess.h"
#include "gateway/StoreHealth.h"
#include "net/Backoff.h"
#include "net/EventLoop.h"
#include "platform/ObjectStore.h"

#include <optional>
#include <string>
#include <vector>

namespace Tarragon {

/// Source of the changes of a kind.
enum class ChangeSource {
    /// Not decided yet. Only the list is read from the store.
    Undecided,
    /// Watches of the store by this entry.
    Store,
    /// Neighbours that watch the store; their changes arrive through applyRelayedChanges().
    Neighbours,
};

/// Options of a subscription.
struct SubscriptionOptions
{
    /// Pause between a watch that returned changes and the next one, so that changes made shortly
    /// after each other cost a single call.
    milliseconds batchTime{ 300 };
    /// Whether the first list may return stale data, which costs less. Stale data may be seconds
    /// old; the following watch returns the changes that the list lacks.
    bool allowStaleList = false;
    /// Whether watches may return stale data.
    bool allowStaleWatch = false;
    /// Whether a first list that may be stale is brought up to date by a call to the store at once,
    /// even if the change source is still undecided or is a neighbour. Set for entries that
    /// restart, because callers are waiting for them.
    bool confirmImmediately = false;
    /// Time after which a watch without changes ends; the longest that the platform allows, as each
    /// watch is a priced call.
    milliseconds watchTime{ 30'000 };
};

/// Subscription to the objects of one kind in the store. Lists the objects once and then watches
/// for changes, or receives the changes from neighbours that watch. Lists again when the store no
/// longer has the history since the last known revision, or was restored from a copy. A watch that
/// fails is continued from the last known revision. A watch that waits on a connection which has
/// gone silent shows nothing until its timeout; verify() finds the changes that it has missed.
template<TimerLoop Loop, StoreReader Store>
class BasicKindSubscription
{
public:
    /// Receivers of the snapshot, that is, all objects of the kind, and of the changes since then.
    /// A new list results in a new snapshot.
    struct Handlers
    {
        sigc::slot<void(const std::vector<Platform::StoredItem> &)> onSnapshot;
        sigc::slot<void(const std::vector<Platform::StoredChange> &)> onChanges;
    };

    BasicKindSubscription(Loop &loop, Store &store, StoreHealth &health, std::string kind,
                          Handlers handlers, std::uint64_t seed,
                          const SubscriptionOptions &options = {});
    BasicKindSubscription(const BasicKindSubscription &) = delete;
    BasicKindSubscription &operator=(const BasicKindSubscription &) = delete;
    ~BasicKindSubscription() { m_health.releaseRetry(this); }

    void start();
    const std::string &kind() const { return m_kind; }
    /// Whether a snapshot has been delivered.
    bool hasSnapshot() const { return m_hasSnapshot; }
    /// Whether a list has been read completely and is still valid, so that changes continue it.
    bool isListed() const { return m_isListed; }
    /// Whether the snapshot that is being delivered is the first one after the store was restored
    /// from a copy: objects may be missing or outdated until their writers write again.
    bool isRestored() const { return m_isRestored; }
    /// Revision up to which the changes are known; unknown before the first list.
    const StoreRevision &revision() const { return m_revision; }
    /// Returns the summary of the last list if no changes were received since.
    std::optional<ListSummary> unchangedList() const;
    ChangeSource source() const { return m_source; }
    /// Whether a call or a timer is pending that continues the subscription, or neighbours relay
    /// the changes. Always the case between start() and the destruction: a subscription without it
    /// would never follow the store again.
    bool hasPendingWork() const;
    /// Sets the source of changes from now on. The initial source is the store.
    void setSource(ChangeSource source);
    /// Applies the changes after revision() that a neighbour relayed. `isComplete` states that they
    /// are all changes known to the neighbour, and not only the first of them. `confirmedAt` is the
    /// confirmedAt() of the neighbour.
    void applyRelayedChanges(const Platform::ChangePage &page, bool isComplete,
                             MonotonicTime confirmedAt);
    /// Time as of which the known objects are complete: all changes made before it are included.
    /// Nothing before the first confirmation.
    const std::optional<MonotonicTime> &confirmedAt() const { return m_confirmedAt; }
    /// Time after which the changes were made that the handlers receive or have received last.
    /// Nothing if it is unknown.
    const std::optional<MonotonicTime> &changesMadeAfter() const { return m_changesMadeAfter; }
    /// Reads the changes from the store once, because neighbours cannot provide them. Does nothing
    /// if this entry watches the store anyway or a call is in progress.
    void readStoreOnce();
    /// Returns the start time of the watch in progress if it waits for changes; nothing otherwise.
    std::optional<MonotonicTime> watchStartedAt() const;
    /// Ensures that all changes up to `current` are known, a revision that the store has shown in
    /// the response to a call which began at `shownAt`. Reads them if they are not, and replaces
    /// the watch that has not shown them. Does nothing if neighbours relay the changes.
    void verify(const StoreRevision &current, MonotonicTime shownAt);
    /// Aborts the watch in progress and handles it as failed, because the connection to the store
    /// is interrupted, or with another outcome.
    void abortWatch(const std::string &reason,
                    Platform::CallOutcome outcome = Platform::CallOutcome::Unknown);
    /// Changes received from watches of the store, for relaying to neighbours.
    const ChangeLog &log() const { return m_log; }

private:
    static constexpr milliseconds MinWatchTime{ 1 };
    /// Time after the end of a watch within which its result must arrive.
    static constexpr milliseconds WatchResultTimeout{ 2'000 };
    /// Timeout of a list. The store responds within milliseconds; sixty times as long when it is
    /// slow.
    static constexpr milliseconds ListTimeout{ 1'000 };
    /// Bounds of the backoff between calls during an outage of the store. They are short because,
    /// after an interruption of its connection ends, an entry must follow the store's content
    /// within 3 s, and for the first two of them attributes removed registrations to expiry during
    /// the outage.
    static constexpr milliseconds MinBackoff{ 100 };
    static constexpr milliseconds MaxBackoff{ 400 };
    /// Time after which an unconfirmed first list is used although no newer data was received: the
    /// store has become unavailable since.
    static constexpr milliseconds ConfirmTimeout{ 2'000 };
    /// Pause of subscriptions that wait for another component's retry to succeed, in case the calls
    /// of that one stay without a response.
    static constexpr milliseconds StoreRecheckDelay{ 2'000 };

    /// Pause before the list is read again because a handler has thrown. Objects that a handler
    /// cannot process would otherwise cause a call after each backoff.
    static constexpr milliseconds HandlerRetryDelay{ 2'000 };

    /// Timeout of a call that reads the changes which a watch may have missed.
    static constexpr milliseconds VerificationTimeout{ 800 };
    /// Time within which a waiting watch returns a change, including the retransmission of a lost
    /// packet.
    static constexpr milliseconds DeliveryTime{ 500 };

    void list(const std::string &after);
    void onPage(const Platform::ItemPage &page);
    /// Delivers the list as a snapshot, followed by the changes received since, once the list is
    /// known to be current or is used unconfirmed. Does nothing if no list is held back.
    void deliverSnapshot();
    /// Calls a handler. If it throws, the objects that it received may be applied in part, and the
    /// list is read again after a pause. Returns whether it did not throw.
    bool callHandler(const sigc::slot<void()> &handler);
    void confirm(MonotonicTime time);
    void apply(const Platform::ChangePage &page);
    void callWatch(milliseconds wait);
    /// Reads the changes that the watch may have missed. A response that may be stale costs a tenth
    /// and states its revision, so that it suffices if it reaches `current`.
    void readMissedChanges(const StoreRevision &current, MonotonicTime shownAt, bool allowStale);
    void onMissedChanges(const Platform::ChangePage &page, MonotonicTime shownAt);
    bool isWaiting() const { return m_isCalling && m_watchTime == m_options.watchTime; }
    void watch();
    void scheduleWatch();
    void onChanges(const Platform::ChangePage &page);
    void continueAfterFailure();
    /// Records the outcome of a call. Returns whether the call succeeded; otherwise schedules the
    /// next call.
    bool recordOutcome(Platform::CallOutcome outcome, const std::string &reason);
    /// Records the era of a response. Returns whether the response may be used: it is neither from
    /// before the store was restored nor the first one after it.
    bool acceptsEra(StoreEra era);
    void onFailure(Platform::CallOutcome outcome, const std::string &reason);
    void onStoreAvailable();
    void onEraChanged();

    Loop &m_loop;
    Store &m_store;
    StoreHealth &m_health;
    std::string m_kind;
    Handlers m_handlers;
    SubscriptionOptions m_options;
    Backoff m_backoff;
    StoreCallOf<Store> m_call;
    MonotonicTime m_callStartedAt;
    /// The call that reads missed changes.
    StoreCallOf<Store> m_verification;
    MonotonicTime m_verificationStartedAt;
    bool m_isVerifying = false;
    MonotonicTime m_listStartedAt;
    /// Time for which the last watch was asked to wait for changes.
    milliseconds m_watchTime{ 0 };
    TimerOf<Loop> m_timer;
    /// The pages received so far of the list in progress.
    Platform::ItemPage m_listPages;
    /// Revision from which to watch; unknown before the first list and when the list must be read
    /// again.
    StoreRevision m_revision;
    /// Era of the last delivered snapshot.
    StoreEra m_snapshotEra;
    bool m_isRestored = false;
    bool m_hasStarted = false;
    bool m_hasSnapshot = false;
    bool m_isListed = false;
    ListSummary m_lastList;
    /// Whether any list has been read completely since the start.
    bool m_hasEverListed = false;
    /// A first list that may be stale and is held back until newer data was received.
    std::optional<std::vector<Platform::StoredItem>> m_unconfirmedSnapshot;
    /// The changes received since that list; delivered together with it.
    std::vector<Platform::StoredChange> m_pendingChanges;
    TimerOf<Loop> m_confirmTimer;
    /// See confirmedAt().
    std::optional<MonotonicTime> m_confirmedAt;
    std::optional<MonotonicTime> m_changesMadeAfter;
    ChangeSource m_source = ChangeSource::Store;
    bool m_isCalling = false;
    ChangeLog m_log;
    /// Whether a call failed during an outage while another component was retrying. This
    /// subscription then waits for the end of the outage.
    bool m_awaitsOtherCall = false;
};

extern template class BasicKindSubscription<EventLoop, Platform::ObjectStore>;

/// The subscription of a running entry.
using KindSubscription = BasicKindSubscription<EventLoop, Platform::ObjectStore>;

} // namespace Tarragon
