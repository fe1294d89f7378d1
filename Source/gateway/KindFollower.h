#pragma once

#include "gateway/ChangeLog.h"
#include "gateway/StoreHealth.h"
#include "net/Backoff.h"
#include "net/EventLoop.h"
#include "platform/ObjectStore.h"

#include <optional>
#include <string>
#include <vector>

namespace Tarragon {

/// Where the changes of a kind come from.
enum class ChangeSource {
    /// Not decided yet; nothing is asked for beyond the list.
    Undecided,
    /// Watches of the store.
    Store,
    /// Neighbours that watch the store, through takeNews().
    Neighbours,
};

/// How a kind is followed.
struct FollowOptions
{
    /// Pause before the next watch after a change, so that changes that come together cost one
    /// call.
    milliseconds batchTime{ 300 };
    /// Whether the first list may return data that is seconds old, which costs less. The watch
    /// behind it brings what it lacks.
    bool mayStartStale = false;
    /// Whether watches may return such data.
    bool mayWatchStale = false;
    /// Whether a first list that may be stale is brought up to date by the store at once, whoever
    /// tells of changes later. Entries that start again have callers waiting.
    bool confirmsAtOnce = false;
};

/// Keeps up with the objects of one kind: lists them once and then watches, and lists again when
/// the store no longer has the history. A broken watch goes on from where it was.
class KindFollower
{
public:
    /// Gets all objects of the kind, or changes since then.
    struct Handlers
    {
        sigc::slot<void(const std::vector<Platform::StoredItem> &)> onSnapshot;
        sigc::slot<void(const std::vector<Platform::StoredChange> &)> onChanges;
    };

    KindFollower(EventLoop &loop, Platform::ObjectStore &store, StoreHealth &health,
                 std::string kind, Handlers handlers, std::uint64_t seed,
                 const FollowOptions &options = {});
    KindFollower(const KindFollower &) = delete;
    KindFollower &operator=(const KindFollower &) = delete;

    void start() { list(""); }
    const std::string &kind() const { return m_kind; }
    /// Whether all objects of the kind have been handed over once.
    bool hasSnapshot() const { return m_hasSnapshot; }
    /// Whether a list has been read and goes on by changes.
    bool isListed() const { return m_isListed; }
    /// Revision up to which a listed kind is known.
    std::uint64_t revision() const { return m_revision; }
    /// The last list, while nothing has changed since.
    std::optional<ListedState> unchangedList() const;
    ChangeSource source() const { return m_source; }
    /// Takes changes from elsewhere from now on. Without a call it is the store.
    void setSource(ChangeSource source);
    /// Takes the changes behind revision() that a neighbour knows, or the first of them.
    void takeNews(const Platform::ChangePage &page, bool isComplete);
    /// Reads from the store, once, what neighbours cannot tell.
    void readOnce();
    /// When the watch in progress was begun, if it is one that waits for changes.
    std::optional<MonotonicTime> watchBegan() const;
    /// Gives up the watch in progress, because the way to the store is interrupted.
    void breakWatch(const std::string &reason);
    /// What watches of the store have brought.
    const ChangeLog &log() const { return m_log; }

private:
    void list(const std::string &after);
    void onPage(const Platform::ItemPage &page);
    /// Hands over the first list, which may have been stale, once it is known to be current.
    void confirm();
    void apply(const Platform::ChangePage &page);
    void callWatch(milliseconds wait);
    void watch();
    void watchLater();
    void onChanges(const Platform::ChangePage &page);
    void next();
    /// Takes how a call ended. Returns whether it was answered; otherwise the next one is
    /// scheduled.
    bool noteOutcome(Platform::CallOutcome outcome, const std::string &reason);
    void onFailure(Platform::CallOutcome outcome, const std::string &reason);
    void onRegained();

    EventLoop &m_loop;
    Platform::ObjectStore &m_store;
    StoreHealth &m_health;
    std::string m_kind;
    Handlers m_handlers;
    FollowOptions m_options;
    Backoff m_backoff;
    HttpCallPtr m_call;
    MonotonicTime m_callBegan;
    /// Time for which the last watch was to wait.
    milliseconds m_watchTime{ 0 };
    Timer m_timer;
    /// The pages of a list that is being read.
    Platform::ItemPage m_listed;
    /// Revision to watch from; 0 before the first list.
    std::uint64_t m_revision = 0;
    bool m_hasSnapshot = false;
    bool m_isListed = false;
    ListedState m_list;
    /// Whether any list has been read.
    bool m_wasListed = false;
    /// A first list that may be stale and is held until newer data has come.
    std::optional<std::vector<Platform::StoredItem>> m_unconfirmed;
    /// The changes behind that list that have come so far.
    std::vector<Platform::StoredChange> m_heldChanges;
    Timer m_confirmTimer;
    ChangeSource m_source = ChangeSource::Store;
    bool m_isCalling = false;
    ChangeLog m_log;
    /// A call has failed and another follower looks for the store's return.
    bool m_isWaiting = false;
};

} // namespace Tarragon
