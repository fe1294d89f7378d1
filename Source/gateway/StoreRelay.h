#pragma once

#include "gateway/KindFollower.h"
#include "gateway/RosterExchange.h"
#include "gateway/StoreHealth.h"
#include "net/EventLoop.h"
#include "routing/EntryRoster.h"

#include <map>
#include <vector>

namespace Tarragon {

/// Has few entries of a failure domain watch the store and tell the others what has changed, so
/// that calls to the store grow with the number of domains and not with that of entries.
///
/// Two entries of a domain watch; every other one asks them in turn, and watches the store itself
/// while none of them answers. Who watches follows from what each entry knows of the others;
/// entries that disagree about it watch too often, never too seldom. What is told may be as old as
/// the pause between two questions and the watcher's own pause between two watches, together about
/// a second.
class StoreRelay
{
public:
    /// Entries start together when the whole deployment starts for the first time; they know each
    /// other a little later.
    StoreRelay(EventLoop &loop, EntryRoster &roster, StoreHealth &health,
               Platform::ObjectStore &store, RosterExchange &exchange, bool isFirstStart);
    StoreRelay(const StoreRelay &) = delete;
    StoreRelay &operator=(const StoreRelay &) = delete;

    /// Takes a kind whose changes are relayed, before its list is read.
    void add(KindFollower &follower);
    /// Begins once the registered entries are known.
    void start();
    /// Answers a neighbour.
    void answer(PeerRpc::Peer::RelayParams::Reader question,
                PeerRpc::Peer::RelayResults::Builder answer);

private:
    void round();
    /// Asks the next of the watchers that have not failed lately.
    void ask(const std::vector<InstanceId> &watchers);
    void onAnswer(const InstanceId &watcher, const PeerRpc::Peer::RelayResults::Reader *answer);
    void takeNews(PeerRpc::KindNews::Reader news);
    void setSource(ChangeSource source);
    bool isWatching() const;
    /// Finds out whether the store still answers while watches of it are silent.
    void checkPath();
    KindFollower *find(const std::string &kind) const;

    EventLoop &m_loop;
    EntryRoster &m_roster;
    StoreHealth &m_health;
    Platform::ObjectStore &m_store;
    RosterExchange &m_exchange;
    std::vector<KindFollower *> m_followers;
    ChangeSource m_source = ChangeSource::Undecided;
    /// Before this time the entry does not watch the store, as it may turn out not to be a watcher.
    MonotonicTime m_watchFrom;
    /// From this time on the entry watches the store unless a watcher answers.
    MonotonicTime m_decideBy;
    /// Before this time watchers are waited for longer.
    MonotonicTime m_settledBy;
    /// When a watcher last answered.
    std::optional<MonotonicTime> m_heardAt;
    /// Answers in a row.
    int m_answers = 0;
    std::map<InstanceId, MonotonicTime> m_failedAt;
    std::uint64_t m_turn = 0;
    /// When a neighbour last asked this entry.
    std::optional<MonotonicTime> m_askedAt;
    MonotonicTime m_pathCheckedAt;
    HttpCallPtr m_pathCheck;
    Timer m_timer;
};

} // namespace Tarragon
