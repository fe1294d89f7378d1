#include "Support/LoopTest.h"
#include "gateway/ChangeLog.h"
#include "gateway/KindSubscription.h"
#include "gateway/RelayCodec.h"
#include "gateway/TargetFeed.h"
#include "net/HttpServer.h"

#include <capnp/message.h>
#include <gmock/gmock.h>

#include <string>
#include <vector>

namespace Tarragon {
namespace {

using testing::ElementsAre;

std::string objectText(const std::string &name, int revision, const std::string &spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision)
           + R"(},"spec":)" + spec + "}";
}

std::string goodSpec(const std::string &extra = "")
{
    return R"({"service":"one","address":"127.0.0.1:80","zone":"d1","slots":3,"state":"ready")"
           + extra + "}";
}

/// Specifications that another writer may have left and that name no usable target.
std::vector<std::string> oddSpecs()
{
    const std::size_t depth = 200'000;
    return {
        goodSpec(R"(,"x":)" + std::string(depth, '[') + std::string(depth, ']')),
        std::string(depth, '[') + std::string(depth, ']'),
        goodSpec(R"(,"seq":1e999)"),
        goodSpec(R"(,"born":99999999999999999999999999)"),
        R"({"service":"one","address":"127.0.0.1:99999","zone":"d1","slots":3,"state":"ready"})",
        R"({"service":"one","address":"127.0.0.1:-1","zone":"d1","slots":1e300,"state":"ready"})",
        R"({"service":7,"state":"odd"})",
        "{\"service\":\"\xff\xfe\"}",
        R"({"service":"one",,})",
        "null",
        "[]",
    };
}

/// An entry's subscription to targets, with a store that answers with given texts.
class OddEntryTest : public LoopTest
{
protected:
    void serve(std::string list, std::string events)
    {
        m_list = std::move(list);
        m_events = std::move(events);
        m_subscription = std::make_unique<KindSubscription>(
                m_loop, m_store, m_health, "servers",
                KindSubscription::Handlers{
                        [this](const std::vector<Platform::StoredItem> &items) {
                            applyTargetSnapshot(m_registry, items, m_loop.now(), std::nullopt,
                                                false);
                        },
                        [this](const std::vector<Platform::StoredChange> &changes) {
                            applyTargetChanges(m_registry, changes, m_loop.now(), std::nullopt);
                        } },
                1);
        m_registry = TargetRegistry();
        m_subscription->start();
        runUntil([this] { return m_subscription->revision().number == 9; });
    }
    std::vector<std::string> known() const
    {
        std::vector<std::string> ids;
        for (const auto &[id, target] : m_registry.targets()) {
            ids.push_back(id.value());
        }
        return ids;
    }
    static std::string listText(const std::vector<std::string> &items, int revision)
    {
        std::string text;
        for (const std::string &it : items) {
            text += (text.empty() ? "" : ",") + it;
        }
        return R"({"items":[)" + text + R"(],"has_more":false,"as_of":)" + std::to_string(revision)
               + "}";
    }

    std::string m_list;
    std::string m_events;
    HttpServer m_server{ m_loop, "127.0.0.1", 0, {}, [this](const HttpExchangePtr &exchange) {
                            const bool isWatch =
                                    exchange->uri().find("watch=") != std::string::npos;
                            if (!isWatch) {
                                exchange->reply(200, {}, m_list);
                            } else if (!m_events.empty()) {
                                exchange->reply(200, {}, std::exchange(m_events, ""));
                            }
                        } };
    HttpClient m_client{ m_loop };
    Platform::ObjectStore m_store{ m_client, Endpoint{ "127.0.0.1", m_server.port() } };
    StoreHealth m_health;
    TargetRegistry m_registry;
    std::unique_ptr<KindSubscription> m_subscription;
};

// Guards against one odd entry in the list that ends the process or hides the entries beside it.
TEST_F(OddEntryTest, ListWithAnOddEntryIsApplied)
{
    for (const std::string &it : oddSpecs()) {
        const std::string odd = objectText("odd", 2, it);
        serve(listText({ odd }, 9), "");
        EXPECT_THAT(known(), ElementsAre());
        serve(listText({ objectText("a", 1, goodSpec()), odd, objectText("z", 3, goodSpec()) }, 9),
              "");
        EXPECT_THAT(known(), ElementsAre("a", "z")) << it.substr(0, 100);
    }
}

// Guards against one odd entry in a watch result that ends the process, hides the changes beside it
// or leaves the entry's former target in use.
TEST_F(OddEntryTest, WatchResultWithAnOddEntryIsApplied)
{
    for (const std::string &it : oddSpecs()) {
        const std::string events = R"({"events":[{"deleted":false,"object":)"
                                   + objectText("odd", 7, it) + R"(},{"deleted":false,"object":)"
                                   + objectText("z", 8, goodSpec()) + R"(}],"as_of":9})";
        serve(listText({ objectText("a", 1, goodSpec()), objectText("odd", 2, goodSpec()) }, 5),
              events);
        EXPECT_THAT(known(), ElementsAre("a", "z")) << it.substr(0, 100);
    }
}

// Guards against one odd entry that a neighbour cannot relay together with the changes beside it.
TEST_F(OddEntryTest, OddEntriesAreRelayed)
{
    for (const std::string &it : oddSpecs()) {
        const std::string events = R"({"events":[{"deleted":false,"object":)"
                                   + objectText("odd", 7, it) + R"(},{"deleted":false,"object":)"
                                   + objectText("z", 8, goodSpec()) + R"(}],"as_of":9})";
        serve(listText({ objectText("a", 1, goodSpec()) }, 5), events);
        const StoreRevision position{ StoreEra(), 5 };
        capnp::MallocMessageBuilder message;
        PeerRpc::KindNews::Builder news = message.initRoot<PeerRpc::KindNews>();
        fillKindNews(news, m_subscription->log().since(position, std::nullopt, { 1'000'000, 1 }));
        TargetRegistry registry;
        applyTargetChanges(registry, pageOf(news.asReader()).changes, m_loop.now(), std::nullopt);
        EXPECT_EQ(registry.targets().size(), 1u) << it.substr(0, 100);
        EXPECT_TRUE(registry.targets().contains(TargetId("z")));
    }
}

} // namespace
} // namespace Tarragon
