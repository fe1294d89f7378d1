#pragma once

#include "StandIns/platform/StandInObjects.h"
#include "VirtualLoop.h"
#include "platform/ObjectStore.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Tarragon {

/// How the store is reached.
enum class StorePath {
    Open,
    /// No packet arrives in either direction; those of open connections are transmitted again after
    /// the end.
    Cut,
    /// The store turns calls away with 503.
    Rejecting,
    /// The store does not serve calls before the end.
    Silent,
    /// No packet arrives at the store; those of open connections are transmitted again after the
    /// end.
    RequestsLost,
    /// The same for the packets that the store sends.
    ResponsesLost,
};

/// The platform's store in virtual time: objects, and watches that wait for changes.
class VirtualStore
{
public:
    explicit VirtualStore(VirtualSchedule &schedule)
        : m_schedule(schedule)
    {}

    const StandInObjects &objects() const { return m_objects; }
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);
    /// Sets how all clients reach the store.
    void setPath(StorePath path);
    StorePath path() const { return m_path; }
    /// Runs an action once the store serves calls again.
    void defer(const std::function<void()> &action) { m_deferred.push_back(action); }
    /// Drops the history and ends all waiting watches.
    void compact();
    /// Answers calls that allow stale data from this copy until clearStaleCopy().
    void setStaleCopy(const StandInObjects &copy) { m_staleCopy = copy; }
    void clearStaleCopy() { m_staleCopy.reset(); }

    /// Returns from a copy of its contents. Waiting watches are answered.
    void restore(const StandInObjects &copy);

    /// Reads all objects of a kind.
    Platform::ItemPage list(const std::string &kind, bool allowStale = false) const;
    /// Reads the changes of a kind after a revision.
    Platform::ChangePage changes(const std::string &kind, const StoreRevision &revision,
                                 bool allowStale = false) const;
    /// Calls back once, at the next change of the kind, at the end of the wait, or when the store
    /// ends the watch.
    void wait(const std::string &kind, microseconds time, const std::function<void()> &callback);

private:
    struct Waiter
    {
        std::string kind;
        std::function<void()> callback;
    };

    void wake(const std::string &kind);
    const StandInObjects &objectsFor(bool allowStale) const
    {
        return allowStale && m_staleCopy.has_value() ? *m_staleCopy : m_objects;
    }

    VirtualSchedule &m_schedule;
    StandInObjects m_objects;
    std::optional<StandInObjects> m_staleCopy;
    StorePath m_path = StorePath::Open;
    std::uint64_t m_nextWaiter = 0;
    std::map<std::uint64_t, Waiter> m_waiters;
    std::list<std::function<void()>> m_deferred;
};

/// Client of the virtual store in one process.
class VirtualStoreClient
{
public:
    struct CallState;
    struct Connection;
    /// A call in progress; destroying it cancels it.
    class Call
    {
    public:
        explicit Call(std::shared_ptr<CallState> state);
        Call(const Call &) = delete;
        Call &operator=(const Call &) = delete;
        ~Call();

    private:
        std::shared_ptr<CallState> m_state;
    };
    using CallPtr = std::unique_ptr<Call>;

    /// `lossRatio` is the fraction of calls whose first packet is lost, so that no connection is
    /// made within the connect timeout.
    VirtualStoreClient(VirtualLoop &loop, VirtualStore &store, microseconds delay, double lossRatio,
                       std::uint64_t seed);

    CallPtr list(const std::string &kind, const std::string &after, milliseconds timeout,
                 bool allowStale, const sigc::slot<void(const Platform::ItemPage &)> &callback);
    CallPtr watch(const std::string &kind, const StoreRevision &revision, milliseconds wait,
                  milliseconds timeout, bool allowStale,
                  const sigc::slot<void(const Platform::ChangePage &)> &callback);
    /// Sets how this process reaches the store.
    void setPath(StorePath path);
    /// Leaves the next call without a response.
    void loseNextCall() { m_losesNextCall = true; }
    /// Leaves everything on all present connections without a response for good.
    void silenceConnections();
    /// Does the same to the connections on which watches of a kind wait.
    void silenceWatches(const std::string &kind);

private:
    template<typename Page>
    CallPtr call(milliseconds timeout, const sigc::slot<void(const Page &)> &callback,
                 const std::function<void(const std::function<void(const Page &)> &)> &serve);
    /// Returns the connection that became idle last if it may still be reused, or a new one.
    std::shared_ptr<Connection> takeConnection();
    StorePath path() const;
    /// The packets of a call in one direction.
    enum class Direction { Request, Response };
    static bool isBlocked(StorePath path, Direction direction);
    /// Runs an action as soon as packets pass in the direction, if the call has not ended.
    void whenReachable(const std::shared_ptr<CallState> &state, Direction direction,
                       const std::function<void()> &action);

    VirtualLoop &m_loop;
    VirtualStore &m_store;
    microseconds m_delay;
    double m_lossRatio;
    std::mt19937_64 m_random;
    StorePath m_path = StorePath::Open;
    bool m_losesNextCall = false;
    /// Connections with a call in progress, and those kept for reuse, the latest last.
    std::vector<std::weak_ptr<Connection>> m_busy;
    std::vector<std::shared_ptr<Connection>> m_idle;
    /// Actions that wait for the end of a cut.
    std::list<std::function<void()>> m_deferred;
};

} // namespace Tarragon
