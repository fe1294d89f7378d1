#include "gateway/StoreRelay.h"

#include "StandIns/platform/StandInStore.h"
#include "Support/LoopTest.h"
#include "gateway/RelayCalls.h"
#include "net/RpcRuntime.h"

#include <gmock/gmock.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

namespace Tarragon {
namespace {

/// The part of an entry of a failure domain that subscribes to the kind "servers".
struct RelayEntry
{
    RelayEntry(EventLoop &loop, const std::string &id, const Endpoint &storeAddress,
               std::uint64_t seed)
        : membership(EntryRecord{ InstanceId(id), FailureDomainId("d1"), RegionId("r1"),
                                  Incarnation(seed), Endpoint{ "127.0.0.1", 1 }, Endpoint{} },
                     seed)
        , client(loop)
        , store(client, storeAddress)
        , gossip(loop, membership, limits, suspects, Endpoint{ "127.0.0.1", 0 }, seed, handlers())
        , subscription(loop, store, health, "servers",
                       { [this](const std::vector<Platform::StoredItem> &list) {
                            items.clear();
                            for (const Platform::StoredItem &it : list) {
                                items[it.name] = it.spec;
                            }
                        },
                         [this](const std::vector<Platform::StoredChange> &changes) {
                             for (const Platform::StoredChange &it : changes) {
                                 if (it.isRemoval) {
                                     items.erase(it.item.name);
                                 } else {
                                     items[it.item.name] = it.item.spec;
                                 }
                             }
                         } },
                       seed, SubscriptionOptions{ milliseconds(100), true, false })
        , relay(loop, membership, health, store, relayCalls(gossip), false)
    {
        health.becameUnavailable().connect([this](const std::string &) { ++outages; });
        relay.add(subscription);
        subscription.start();
    }

    PeerHandlers handlers()
    {
        PeerHandlers result;
        result.relay = [this](PeerRpc::Peer::RelayParams::Reader request,
                              PeerRpc::Peer::RelayResults::Builder reply) {
            relay.fillReply(request, reply);
        };
        return result;
    }
    EntryRecord record() const
    {
        EntryRecord result = membership.localEntry();
        result.rpc = Endpoint{ "127.0.0.1", gossip.port() };
        return result;
    }

    std::map<std::string, nlohmann::json> items;
    int outages = 0;
    EntryMembership membership;
    StoreHealth health;
    HttpClient client;
    Platform::ObjectStore store;
    TargetLimits limits;
    SuspectRequests suspects;
    MembershipGossip gossip;
    KindSubscription subscription;
    StoreRelay relay;
};

/// A failure domain of entries that communicate over real sockets, and a stand-in for the store.
class StoreRelayTest : public LoopTest
{
protected:
    static constexpr int Count = 6;

    void start(int count = Count)
    {
        set("t0", "ready");
        for (int i = 0; i < count; ++i) {
            add("e" + std::to_string(i), m_standIn.port());
        }
        connectEntries();
    }
    void add(const std::string &id, std::uint16_t storePort)
    {
        m_entries[id] = std::make_unique<RelayEntry>(m_loop, id, Endpoint{ "127.0.0.1", storePort },
                                                     m_entries.size() + 1);
    }
    void connectEntries()
    {
        std::vector<EntryRecord> records;
        for (const auto &[id, entry] : m_entries) {
            records.push_back(entry->record());
        }
        for (const auto &[id, entry] : m_entries) {
            entry->gossip.setRecords(records);
            entry->relay.start();
        }
    }
    /// Writes through the store's API, so that watches receive the change.
    void set(const std::string &name, const std::string &value)
    {
        bool done = false;
        const nlohmann::json spec = { { "x", value } };
        const auto finish = [&done](const Platform::ItemResult &) { done = true; };
        const HttpCallPtr call =
                m_standIn.objects().find("servers", name) == nullptr
                        ? m_writer.create("servers", name, spec, seconds(5), finish)
                        : m_writer.replace("servers", name, spec, StoreRevision(), seconds(5),
                                           finish);
        await([&done] { return done; });
    }
    std::set<std::string> watching() const
    {
        std::set<std::string> ids;
        for (const auto &[id, entry] : m_entries) {
            if (entry->subscription.source() == ChangeSource::Store) {
                ids.insert(id);
            }
        }
        return ids;
    }
    std::size_t relyingCount() const
    {
        return static_cast<std::size_t>(
                std::count_if(m_entries.begin(), m_entries.end(), [](const auto &it) {
                    return it.second->subscription.source() == ChangeSource::Neighbours;
                }));
    }
    static bool hasValue(const RelayEntry &entry, const std::string &name, const std::string &value)
    {
        const auto item = entry.items.find(name);
        return item != entry.items.end() && item->second.at("x") == value;
    }
    bool allHave(const std::string &name, const std::string &value) const
    {
        return std::all_of(m_entries.begin(), m_entries.end(),
                           [&](const auto &it) { return hasValue(*it.second, name, value); });
    }
    template<typename Condition>
    void await(const Condition &condition)
    {
        bool expired = false;
        const Timer limit = m_loop.schedule(seconds(20), [this, &expired] {
            expired = true;
            m_runtime.stop();
        });
        const Timer look = m_loop.scheduleEvery(milliseconds(2), [this, &condition] {
            if (condition()) {
                m_runtime.stop();
            }
        });
        m_runtime.run();
        ASSERT_FALSE(expired) << "the awaited event did not come";
    }

    RpcRuntime m_runtime{ m_loop.base() };
    StandInStore m_standIn{ m_loop, "127.0.0.1", 0, 0 };
    HttpClient m_client{ m_loop };
    Platform::ObjectStore m_writer{ m_client, Endpoint{ "127.0.0.1", m_standIn.port() } };
    std::map<std::string, std::unique_ptr<RelayEntry>> m_entries;
};

// Guards against calls to the store that grow with the number of entries, and against entries that
// rely on watchers and miss changes.
TEST_F(StoreRelayTest, TwoEntriesWatchAndAllReceiveChanges)
{
    start();
    await([this] { return relyingCount() == Count - 2; });
    EXPECT_EQ(watching().size(), 2u);
    await([this] { return allHave("t0", "ready"); });
    set("t1", "joined");
    await([this] { return allHave("t1", "joined"); });
    set("t0", "draining");
    await([this] { return allHave("t0", "draining"); });
    EXPECT_EQ(watching().size(), 2u);
    EXPECT_EQ(relyingCount(), std::size_t(Count - 2));
}

// Guards against a small failure domain whose entries wait for each other.
TEST_F(StoreRelayTest, InSmallDomainsAllWatch)
{
    start(3);
    await([this] { return watching().size() == 3; });
    set("t1", "joined");
    await([this] { return allHave("t1", "joined"); });
    EXPECT_EQ(relyingCount(), 0u);
}

// Guards against entries that receive no more changes because all watchers have failed.
TEST_F(StoreRelayTest, ChangesArriveAfterAllWatchersHaveFailed)
{
    start();
    await([this] { return relyingCount() == Count - 2; });
    for (const std::string &it : watching()) {
        m_entries.erase(it);
    }
    set("t0", "draining");
    await([this] { return allHave("t0", "draining"); });
    // Two of the remaining entries become watchers, the others rely on them.
    await([this] { return watching().size() == 2 && relyingCount() == Count - 4; });
    set("t0", "gone");
    await([this] { return allHave("t0", "gone"); });
}

// Guards against watchers that continue to reply although their own connection to the store is
// interrupted, which would leave the whole failure domain with stale data.
TEST_F(StoreRelayTest, WatchersThatLoseTheStoreAreNotReliedOn)
{
    StandInStore other(m_loop, "127.0.0.1", 0, 0);
    other.objects().put("servers", "t0", { { "x", "ready" } });
    set("t0", "ready");
    // Determines the watchers by the rank on which entries agree; these two use a separate store.
    for (int i = 0; i < Count; ++i) {
        add("e" + std::to_string(i), m_standIn.port());
    }
    const std::vector<EntryRecord> records = [this] {
        std::vector<EntryRecord> result;
        for (const auto &[id, entry] : m_entries) {
            result.push_back(entry->record());
        }
        return result;
    }();
    m_entries.begin()->second->membership.setRecords(records);
    const std::vector<InstanceId> watchers =
            m_entries.begin()->second->membership.watchers(2, m_loop.now());
    m_entries.clear();
    for (int i = 0; i < Count; ++i) {
        const std::string id = "e" + std::to_string(i);
        const bool isWatcher =
                std::find(watchers.begin(), watchers.end(), InstanceId(id)) != watchers.end();
        add(id, isWatcher ? other.port() : m_standIn.port());
    }
    connectEntries();
    await([this] { return relyingCount() == Count - 2; });
    // Every further call hangs, while the open watches stay open.
    other.control({ { "delayMs", 600000 } });
    set("t0", "draining");
    await([this, &watchers] {
        return std::all_of(m_entries.begin(), m_entries.end(), [&watchers](const auto &it) {
            const bool isWatcher = std::find(watchers.begin(), watchers.end(), InstanceId(it.first))
                                   != watchers.end();
            return isWatcher || hasValue(*it.second, "t0", "draining");
        });
    });
}

// Guards against an entry that receives no changes for the duration of a watch that was started
// while the store did not respond for a moment. No other entry polls this one.
TEST_F(StoreRelayTest, WatchesStartedWhileTheStoreDoesNotRespondAreDetected)
{
    start(1);
    await([this] { return watching().size() == 1 && allHave("t0", "ready"); });
    set("t0", "draining");
    await([this] { return allHave("t0", "draining"); });
    // The next watch starts within this time.
    m_standIn.control({ { "effectDelayMs", 600000 } });
    bool isOver = false;
    const Timer pause = m_loop.schedule(milliseconds(1'500), [&isOver] { isOver = true; });
    await([&isOver] { return isOver; });
    m_standIn.control({ { "effectDelayMs", 0 } });
    set("t0", "gone");
    await([this] { return allHave("t0", "gone"); });
}

// Guards against long objects that fill the links of watchers because every neighbour requests
// them.
TEST_F(StoreRelayTest, LongObjectsAreReadFromTheStore)
{
    start();
    await([this] { return relyingCount() == Count - 2; });
    const std::string text(300'000, 'x');
    set("t9", text);
    await([this, &text] { return allHave("t9", text); });
    EXPECT_EQ(relyingCount(), std::size_t(Count - 2));
}

// Guards against an outage that only the watchers observed being ignored by this entry: entries
// that vanish after it may only have expired.
TEST(StoreHealthTest, OutageSeenByANeighbourCountsOnce)
{
    StoreHealth health;
    int outages = 0;
    int recoveries = 0;
    health.becameUnavailable().connect([&outages](const std::string &) { ++outages; });
    health.becameAvailable().connect([&recoveries] { ++recoveries; });
    const MonotonicTime start{ seconds(100) };
    health.onSuccess(start);
    health.onNeighbourOutage(start + seconds(5));
    health.onNeighbourOutage(start + seconds(6));
    EXPECT_EQ(outages, 1);
    EXPECT_EQ(recoveries, 1);
    EXPECT_FALSE(health.isUnavailable());
    health.onNeighbourOutage(start + seconds(30));
    EXPECT_EQ(outages, 2);
}

} // namespace
} // namespace Tarragon
