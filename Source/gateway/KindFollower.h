#pragma once

#include "gateway/StoreHealth.h"
#include "net/Backoff.h"
#include "net/EventLoop.h"
#include "platform/ObjectStore.h"

#include <string>
#include <vector>

namespace Tarragon {

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
    /// Whether all objects of the kind have been read once.
    bool hasSnapshot() const { return m_hasSnapshot; }

private:
    void list(const std::string &after);
    void onPage(const Platform::ItemPage &page);
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
    /// A call has failed and another follower looks for the store's return.
    bool m_isWaiting = false;
};

} // namespace Tarragon
