#include "gateway/StoreRelay.h"

#include "StandIns/platform/StandInStore.h"
#include "Support/LoopTest.h"
#include "net/RpcRuntime.h"

#include <gmock/gmock.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

namespace Tarragon {
namespace {

/// One entry of a failure domain as far as it follows the kind "servers".
struct RelayEntry
{
    RelayEntry(EventLoop &loop, const std::string &id, const Endpoint &storeAddress,
               std::uint64_t seed)
        : roster(EntryRecord{ InstanceId(id), FailureDomainId("d1"), RegionId("r1"),
                              Incarnation(seed), Endpoint{ "127.0.0.1", 1 }, Endpoint{} },
                 seed)
        , client(loop)
        , store(client, storeAddress)
        , exchange(loop, roster, Endpoint{ "127.0.0.1", 0 }, seed, handlers())
        , follower(loop, store, health, "servers",
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
                   seed, FollowOptions{ milliseconds(100), true, false })
        , relay(loop, roster, health, store, exchange, false)
    {
        health.lost().connect([this](const std::string &) { ++losses; });
        relay.add(follower);
        follower.start();
    }

    PeerHandlers handlers()
    {
        PeerHandlers result;
        result.relay = [this](PeerRpc::Peer::RelayParams::Reader question,
                              PeerRpc::Peer::RelayResults::Builder answer) {
            relay.answer(question, answer);
        };
        return result;
    }
    EntryRecord record() const
    {
        EntryRecord result = roster.self();
        result.rpc = Endpoint{ "127.0.0.1", exchange.port() };
        return result;
    }

    std::map<std::string, nlohmann::json> items;
    int losses = 0;
    EntryRoster roster;
    StoreHealth health;
    HttpClient client;
    Platform::ObjectStore store;
    RosterExchange exchange;
    KindFollower follower;
    StoreRelay relay;
};

/// A failure domain of entries over real sockets, two stores that hold the same, and a way to cut
/// entries off from theirs.
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
        meet();
    }
    void add(const std::string &id, std::uint16_t storePort)
    {
        m_entries[id] = std::make_unique<RelayEntry>(m_loop, id, Endpoint{ "127.0.0.1", storePort },
                                                     m_entries.size() + 1);
    }
    void meet()
    {
        std::vector<EntryRecord> records;
        for (const auto &[id, entry] : m_entries) {
            records.push_back(entry->record());
        }
        for (const auto &[id, entry] : m_entries) {
            entry->exchange.setRecords(records);
            entry->relay.start();
        }
    }
    /// Writes to the store through its API, so that watches are told.
    void set(const std::string &name, const std::string &value)
    {
        bool done = false;
        const nlohmann::json spec = { { "x", value } };
        const auto finish = [&done](const Platform::ItemResult &) { done = true; };
        const HttpCallPtr call =
                m_standIn.objects().find("servers", name) == nullptr
                        ? m_writer.create("servers", name, spec, seconds(5), finish)
                        : m_writer.replace("servers", name, spec, 0, seconds(5), finish);
        await([&done] { return done; });
    }
    std::set<std::string> watching() const
    {
        std::set<std::string> ids;
        for (const auto &[id, entry] : m_entries) {
            if (entry->follower.source() == ChangeSource::Store) {
                ids.insert(id);
            }
        }
        return ids;
    }
    std::size_t relying() const
    {
        return static_cast<std::size_t>(
                std::count_if(m_entries.begin(), m_entries.end(), [](const auto &it) {
                    return it.second->follower.source() == ChangeSource::Neighbours;
                }));
    }
    static bool knows(const RelayEntry &entry, const std::string &name, const std::string &value)
    {
        const auto item = entry.items.find(name);
        return item != entry.items.end() && item->second.at("x") == value;
    }
    bool allKnow(const std::string &name, const std::string &value) const
    {
        return std::all_of(m_entries.begin(), m_entries.end(),
                           [&](const auto &it) { return knows(*it.second, name, value); });
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
// rely on others and miss changes.
TEST_F(StoreRelayTest, TwoEntriesWatchAndAllLearnOfChanges)
{
    start();
    await([this] { return relying() == Count - 2; });
    EXPECT_EQ(watching().size(), 2u);
    await([this] { return allKnow("t0", "ready"); });
    set("t1", "joined");
    await([this] { return allKnow("t1", "joined"); });
    set("t0", "draining");
    await([this] { return allKnow("t0", "draining"); });
    EXPECT_EQ(watching().size(), 2u);
    EXPECT_EQ(relying(), std::size_t(Count - 2));
}

// Guards against a small failure domain whose entries wait for each other.
TEST_F(StoreRelayTest, InSmallDomainsAllWatch)
{
    start(3);
    await([this] { return watching().size() == 3; });
    set("t1", "joined");
    await([this] { return allKnow("t1", "joined"); });
    EXPECT_EQ(relying(), 0u);
}

// Guards against entries that learn nothing more because those who watched for them have died.
TEST_F(StoreRelayTest, ChangesArriveAfterAllWatchersHaveDied)
{
    start();
    await([this] { return relying() == Count - 2; });
    for (const std::string &it : watching()) {
        m_entries.erase(it);
    }
    set("t0", "draining");
    await([this] { return allKnow("t0", "draining"); });
    // Two of the others take over, the rest relies on them.
    await([this] { return watching().size() == 2 && relying() == Count - 4; });
    set("t0", "gone");
    await([this] { return allKnow("t0", "gone"); });
}

// Guards against watchers that go on answering although their own way to the store is cut, which
// would leave a whole failure domain with what it knew.
TEST_F(StoreRelayTest, WatchersThatLoseTheStoreAreNotReliedOn)
{
    StandInStore other(m_loop, "127.0.0.1", 0, 0);
    other.objects().put("servers", "t0", { { "x", "ready" } });
    set("t0", "ready");
    // Found by the rank that entries agree on: those two use a store of their own.
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
    m_entries.begin()->second->roster.setRecords(records);
    const std::vector<InstanceId> watchers =
            m_entries.begin()->second->roster.watchers(2, m_loop.now());
    m_entries.clear();
    for (int i = 0; i < Count; ++i) {
        const std::string id = "e" + std::to_string(i);
        const bool isWatcher =
                std::find(watchers.begin(), watchers.end(), InstanceId(id)) != watchers.end();
        add(id, isWatcher ? other.port() : m_standIn.port());
    }
    meet();
    await([this] { return relying() == Count - 2; });
    // Every further call hangs, while the watches stay open.
    other.control({ { "delayMs", 600000 } });
    set("t0", "draining");
    await([this, &watchers] {
        return std::all_of(m_entries.begin(), m_entries.end(), [&watchers](const auto &it) {
            const bool isWatcher = std::find(watchers.begin(), watchers.end(), InstanceId(it.first))
                                   != watchers.end();
            return isWatcher || knows(*it.second, "t0", "draining");
        });
    });
}

// Guards against an entry that hears nothing for the time of a watch, because it was begun while
// the store was silent for a moment. Nobody relies on the entry, so that nobody asks it.
TEST_F(StoreRelayTest, WatchesBegunWhileTheStoreIsSilentAreNoticed)
{
    start(1);
    await([this] { return watching().size() == 1 && allKnow("t0", "ready"); });
    set("t0", "draining");
    await([this] { return allKnow("t0", "draining"); });
    // The next watch begins within this time.
    m_standIn.control({ { "effectDelayMs", 600000 } });
    bool isOver = false;
    const Timer pause = m_loop.schedule(milliseconds(1'500), [&isOver] { isOver = true; });
    await([&isOver] { return isOver; });
    m_standIn.control({ { "effectDelayMs", 0 } });
    set("t0", "gone");
    await([this] { return allKnow("t0", "gone"); });
}

// Guards against links of watchers that are filled by long objects which every neighbour wants.
TEST_F(StoreRelayTest, LongObjectsAreReadFromTheStore)
{
    start();
    await([this] { return relying() == Count - 2; });
    const std::string text(300'000, 'x');
    set("t9", text);
    await([this, &text] { return allKnow("t9", text); });
    EXPECT_EQ(relying(), std::size_t(Count - 2));
}

// Guards against an outage that only watchers have met: entries that vanish after it may only have
// lapsed.
TEST(StoreHealthTest, OutageSeenByANeighbourCountsOnce)
{
    StoreHealth health;
    int losses = 0;
    int returns = 0;
    health.lost().connect([&losses](const std::string &) { ++losses; });
    health.regained().connect([&returns] { ++returns; });
    const MonotonicTime start{ seconds(100) };
    health.onSuccess(start);
    health.onOutageSeen(start + seconds(5));
    health.onOutageSeen(start + seconds(6));
    EXPECT_EQ(losses, 1);
    EXPECT_EQ(returns, 1);
    EXPECT_FALSE(health.isLost());
    health.onOutageSeen(start + seconds(30));
    EXPECT_EQ(losses, 2);
}

} // namespace
} // namespace Tarragon
