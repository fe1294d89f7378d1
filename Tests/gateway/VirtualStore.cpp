#include "VirtualStore.h"

#include <utility>
#include <vector>

namespace Tarragon {

namespace {

using Platform::CallOutcome;

/// As in ObjectStore.
constexpr milliseconds ConnectTimeout{ 300 };
/// Time after which keep-alive probes find that a connection is interrupted.
constexpr milliseconds KeepAliveTimeout{ 3'000 };
/// Time after the end of a cut until a held response is transmitted again.
constexpr milliseconds RetransmitDelay{ 200 };

} // namespace

void VirtualStore::put(const std::string &kind, const std::string &name, const nlohmann::json &spec)
{
    m_objects.put(kind, name, spec);
    wake(kind);
}

void VirtualStore::remove(const std::string &kind, const std::string &name)
{
    m_objects.remove(kind, name);
    wake(kind);
}

void VirtualStore::setPath(StorePath path)
{
    m_path = path;
    if (path == StorePath::Open) {
        for (const std::function<void()> &it : std::exchange(m_deferred, {})) {
            it();
        }
    }
}

void VirtualStore::compact()
{
    m_objects.forgetHistory();
    wake("");
}

void VirtualStore::restore(const StandInObjects &copy)
{
    m_objects.restore(copy);
    wake("");
}

Platform::ItemPage VirtualStore::list(const std::string &kind, bool allowStale) const
{
    const StandInObjects &objects = objectsFor(allowStale);
    Platform::ItemPage page;
    page.outcome = CallOutcome::Done;
    page.era = StoreEra(objects.era());
    page.revision = StoreRevision{ page.era, objects.revision() };
    for (const StandInObjects::Object &it : objects.list(kind, "")) {
        page.items.push_back(
                Platform::StoredItem{ it.name, StoreRevision{ page.era, it.revision }, it.spec });
    }
    return page;
}

Platform::ChangePage VirtualStore::changes(const std::string &kind, const StoreRevision &revision,
                                           bool allowStale) const
{
    const StandInObjects &objects = objectsFor(allowStale);
    Platform::ChangePage page;
    page.era = StoreEra(objects.era());
    if (page.era == revision.era && &objects != &m_objects
        && revision.number >= objects.revision()) {
        // The copy does not have the revision yet.
        page.outcome = CallOutcome::Done;
        page.revision = StoreRevision{ page.era, objects.revision() };
        return page;
    }
    const auto changes = objects.changesSince(kind, revision.number);
    if (!changes.has_value() || page.era != revision.era) {
        page.outcome = CallOutcome::HistoryGone;
        page.reason = "status 410";
        return page;
    }
    page.outcome = CallOutcome::Done;
    page.revision = StoreRevision{ page.era, objects.revision() };
    for (const StandInObjects::Change &it : *changes) {
        page.changes.push_back(Platform::StoredChange{
                { it.object.name, StoreRevision{ page.era, it.object.revision }, it.object.spec },
                it.isRemoval });
    }
    return page;
}

void VirtualStore::wait(const std::string &kind, microseconds time,
                        const std::function<void()> &callback)
{
    const std::uint64_t number = m_nextWaiter++;
    m_waiters.emplace(number, Waiter{ kind, callback });
    m_schedule.after(time, [this, number] {
        const auto it = m_waiters.find(number);
        if (it != m_waiters.end()) {
            const std::function<void()> waiting = std::move(it->second.callback);
            m_waiters.erase(it);
            waiting();
        }
    });
}

void VirtualStore::wake(const std::string &kind)
{
    std::vector<std::function<void()>> callbacks;
    for (auto it = m_waiters.begin(); it != m_waiters.end();) {
        const auto current = it++;
        if (kind.empty() || current->second.kind == kind) {
            callbacks.push_back(std::move(current->second.callback));
            m_waiters.erase(current);
        }
    }
    for (const std::function<void()> &it : callbacks) {
        it();
    }
}

struct VirtualStoreClient::CallState
{
    bool hasEnded = false;
};

struct VirtualStoreClient::Connection
{
    bool isSilent = false;
    /// Kind of the watch that waits on the connection; empty if none does.
    std::string watchedKind;
    MonotonicTime idleSince;
};

VirtualStoreClient::Call::Call(std::shared_ptr<CallState> state)
    : m_state(std::move(state))
{}

VirtualStoreClient::Call::~Call()
{
    m_state->hasEnded = true;
}

VirtualStoreClient::VirtualStoreClient(VirtualLoop &loop, VirtualStore &store, microseconds delay,
                                       double lossRatio, std::uint64_t seed)
    : m_loop(loop)
    , m_store(store)
    , m_delay(delay)
    , m_lossRatio(lossRatio)
    , m_random(seed)
{}

void VirtualStoreClient::silenceConnections()
{
    for (const std::shared_ptr<Connection> &it : m_idle) {
        it->isSilent = true;
    }
    for (const std::weak_ptr<Connection> &it : m_busy) {
        if (const std::shared_ptr<Connection> connection = it.lock()) {
            connection->isSilent = true;
        }
    }
}

void VirtualStoreClient::silenceWatches(const std::string &kind)
{
    for (const std::weak_ptr<Connection> &it : m_busy) {
        const std::shared_ptr<Connection> connection = it.lock();
        if (connection != nullptr && connection->watchedKind == kind) {
            connection->isSilent = true;
        }
    }
}

std::shared_ptr<VirtualStoreClient::Connection> VirtualStoreClient::takeConnection()
{
    std::erase_if(m_idle, [this](const std::shared_ptr<Connection> &it) {
        return m_loop.now() - it->idleSince > Platform::ObjectStore::MaxIdleTime;
    });
    std::erase_if(m_busy, [](const std::weak_ptr<Connection> &it) { return it.expired(); });
    std::shared_ptr<Connection> connection = std::make_shared<Connection>();
    if (!m_idle.empty()) {
        connection = std::move(m_idle.back());
        m_idle.pop_back();
    }
    m_busy.push_back(connection);
    return connection;
}

StorePath VirtualStoreClient::path() const
{
    return m_path == StorePath::Open ? m_store.path() : m_path;
}

void VirtualStoreClient::setPath(StorePath path)
{
    m_path = path;
    if (path == StorePath::Open) {
        for (const std::function<void()> &it : std::exchange(m_deferred, {})) {
            m_loop.run(RetransmitDelay, it);
        }
    }
}

bool VirtualStoreClient::isBlocked(StorePath path, Direction direction)
{
    switch (path) {
    case StorePath::Open:
    case StorePath::Rejecting:
        return false;
    case StorePath::Cut:
    case StorePath::Silent:
        return true;
    case StorePath::RequestsLost:
        return direction == Direction::Request;
    case StorePath::ResponsesLost:
        return direction == Direction::Response;
    }
    return false;
}

void VirtualStoreClient::whenReachable(const std::shared_ptr<CallState> &state, Direction direction,
                                       const std::function<void()> &action)
{
    if (state->hasEnded) {
        return;
    }
    const auto again = [this, state, direction, action] {
        whenReachable(state, direction, action);
    };
    if (isBlocked(m_path, direction)) {
        m_deferred.push_back(again);
    } else if (isBlocked(m_store.path(), direction)) {
        m_store.defer(again);
    } else {
        action();
    }
}

template<typename Page>
VirtualStoreClient::CallPtr VirtualStoreClient::call(
        milliseconds timeout, const sigc::slot<void(const Page &)> &callback,
        const std::function<void(const std::function<void(const Page &)> &)> &serve)
{
    const std::shared_ptr<CallState> state = std::make_shared<CallState>();
    const std::shared_ptr<Connection> connection = takeConnection();
    const auto end = [state, callback](const Page &page) {
        if (!std::exchange(state->hasEnded, true)) {
            callback(page);
        }
    };
    const auto fail = [end](CallOutcome outcome, const std::string &reason) {
        Page page;
        page.outcome = outcome;
        page.reason = reason;
        end(page);
    };
    const auto receive = [this, state, connection, end](const Page &page) {
        if (connection->isSilent) {
            return;
        }
        if (!state->hasEnded) {
            connection->watchedKind.clear();
            connection->idleSince = m_loop.now();
            m_idle.push_back(connection);
        }
        end(page);
    };
    m_loop.run(timeout, [fail] { fail(CallOutcome::Unknown, "timed out"); });
    if (std::exchange(m_losesNextCall, false)) {
        return std::make_unique<Call>(state);
    }
    if (std::bernoulli_distribution(m_lossRatio)(m_random)) {
        m_loop.run(std::min(ConnectTimeout, timeout),
                   [fail] { fail(CallOutcome::NotApplied, "connect timed out"); });
        return std::make_unique<Call>(state);
    }
    // The store's side of a call ends with the call, so that it does not outlive the process.
    const auto respond = [this, state, connection, receive, fail](const Page &page) {
        if (state->hasEnded || connection->isSilent) {
            return;
        }
        if (m_path == StorePath::Cut) {
            m_loop.run(KeepAliveTimeout,
                       [fail] { fail(CallOutcome::Unknown, "keep-alive probe unanswered"); });
        }
        whenReachable(state, Direction::Response, [this, receive, page] {
            m_loop.run(m_delay, [receive, page] { receive(page); });
        });
    };
    m_loop.run(m_delay, [this, state, connection, serve, respond] {
        if (connection->isSilent) {
            return;
        }
        whenReachable(state, Direction::Request, [this, serve, respond] {
            if (path() == StorePath::Rejecting) {
                Page page;
                page.outcome = CallOutcome::NotApplied;
                page.reason = "status 503";
                page.era = StoreEra(m_store.objects().era());
                respond(page);
                return;
            }
            serve(respond);
        });
    });
    return std::make_unique<Call>(state);
}

VirtualStoreClient::CallPtr
VirtualStoreClient::list(const std::string &kind, const std::string &, milliseconds timeout,
                         bool allowStale,
                         const sigc::slot<void(const Platform::ItemPage &)> &callback)
{
    return call<Platform::ItemPage>(
            timeout, callback,
            [this, kind,
             allowStale](const std::function<void(const Platform::ItemPage &)> &respond) {
                respond(m_store.list(kind, allowStale));
            });
}

VirtualStoreClient::CallPtr
VirtualStoreClient::watch(const std::string &kind, const StoreRevision &revision, milliseconds wait,
                          milliseconds timeout, bool allowStale,
                          const sigc::slot<void(const Platform::ChangePage &)> &callback)
{
    CallPtr result = call<Platform::ChangePage>(
            timeout, callback,
            [&store = m_store, kind, revision, wait,
             allowStale](const std::function<void(const Platform::ChangePage &)> &respond) {
                const Platform::ChangePage page = store.changes(kind, revision, allowStale);
                if (page.outcome != CallOutcome::Done || !page.changes.empty()) {
                    respond(page);
                    return;
                }
                store.wait(kind, wait, [&store, kind, revision, allowStale, respond] {
                    respond(store.changes(kind, revision, allowStale));
                });
            });
    if (const std::shared_ptr<Connection> connection = m_busy.back().lock()) {
        connection->watchedKind = kind;
    }
    return result;
}

} // namespace Tarragon
