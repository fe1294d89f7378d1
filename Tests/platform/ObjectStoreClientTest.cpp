#include "platform/ObjectStoreClient.h"
#include "StandIns/platform/StandInStore.h"
#include "Support/LoopTest.h"
#include "Support/RawListener.h"

#include <gmock/gmock.h>

#include <optional>

namespace Tarragon {
namespace {

using Json = nlohmann::json;

class ObjectStoreClientTest : public LoopTest
{
protected:
    static constexpr milliseconds Timeout{ 5'000 };

    template<typename Result>
    Result await(std::optional<Result> &result)
    {
        runUntil([&result] { return result.has_value(); });
        return result.value_or(Result());
    }
    StoredObject get(ObjectStoreClient &store, const std::string &key)
    {
        std::optional<StoredObject> result;
        store.get(key, [&result](const StoredObject &value) { result = value; });
        return await(result);
    }
    StoreWrite put(ObjectStoreClient &store, const std::string &key, const std::string &value,
                   std::uint64_t ifVersion)
    {
        std::optional<StoreWrite> result;
        store.put(key, value, ObjectVersion(ifVersion),
                  [&result](const StoreWrite &write) { result = write; });
        return await(result);
    }
    ObjectListing list(ObjectStoreClient &store, const std::string &prefix)
    {
        std::optional<ObjectListing> result;
        store.list(prefix, [&result](const ObjectListing &listing) { result = listing; });
        return await(result);
    }
    InstanceListing instances(ObjectStoreClient &store)
    {
        std::optional<InstanceListing> result;
        store.instances([&result](const InstanceListing &listing) { result = listing; });
        return await(result);
    }

    StandInStore m_standIn{ m_loop, "127.0.0.1", 0, 0 };
    HttpClient m_client{ m_loop };
    ObjectStoreClient m_store{ m_loop, m_client, "127.0.0.1", m_standIn.port(), Timeout };
};

// Guards against an update that overwrites a change made since the writer read the object.
TEST_F(ObjectStoreClientTest, UpdatesAreConditional)
{
    const std::string key = "config/section/a b%2F?&#/é";
    EXPECT_EQ(get(m_store, key).outcome, StoreOutcome::NotFound);
    const StoreWrite made = put(m_store, key, "one", 0);
    EXPECT_EQ(made.outcome, StoreOutcome::Done);
    EXPECT_GT(made.version, ObjectVersion(0));
    const StoreWrite again = put(m_store, key, "two", 0);
    EXPECT_EQ(again.outcome, StoreOutcome::Conflict);
    EXPECT_EQ(again.version, made.version);
    const StoreWrite updated = put(m_store, key, "three", made.version.value());
    EXPECT_EQ(updated.outcome, StoreOutcome::Done);
    EXPECT_GT(updated.version, made.version);
    EXPECT_EQ(put(m_store, key, "four", made.version.value()).outcome, StoreOutcome::Conflict);
    const StoredObject object = get(m_store, key);
    EXPECT_EQ(object.outcome, StoreOutcome::Done);
    EXPECT_EQ(object.version, updated.version);
    EXPECT_EQ(object.value, "three");
}

// Guards against values that are too large for the store being reported as possibly written.
TEST_F(ObjectStoreClientTest, ValuesUpToAMegabyteAreStored)
{
    const std::string largest(1'000'000, 'x');
    EXPECT_EQ(put(m_store, "large", largest, 0).outcome, StoreOutcome::Done);
    EXPECT_EQ(get(m_store, "large").value, largest);
    EXPECT_EQ(put(m_store, "larger", largest + "x", 0).outcome, StoreOutcome::NotApplied);
    EXPECT_EQ(get(m_store, "larger").outcome, StoreOutcome::NotFound);
}

// Guards against listings that lack objects with the prefix or contain others.
TEST_F(ObjectStoreClientTest, ListsThePrefix)
{
    put(m_store, "plan/a", "1", 0);
    put(m_store, "plan/b", "2", 0);
    put(m_store, "plans", "3", 0);
    const ObjectListing listing = list(m_store, "plan/");
    EXPECT_EQ(listing.outcome, StoreOutcome::Done);
    EXPECT_EQ(listing.revision.number, 3u);
    ASSERT_EQ(listing.objects.size(), 2u);
    EXPECT_EQ(listing.objects[0].key, "plan/a");
    EXPECT_EQ(listing.objects[1].key, "plan/b");
    EXPECT_EQ(listing.objects[1].version, ObjectVersion(2));
}

// Guards against a watch that misses a change between the listing and its start, ends for a change
// of another prefix, or never ends.
TEST_F(ObjectStoreClientTest, WatchEndsAfterAChangeOrTheWait)
{
    std::optional<ObjectListing> changed;
    std::optional<ObjectListing> missed;
    std::optional<ObjectListing> unchanged;
    m_store.watch("plan/", StoreRevision{ StoreEra(1), 0 }, seconds(60),
                  [&](const ObjectListing &value) { changed = value; });
    m_store.watch("other/", StoreRevision{ StoreEra(1), 0 }, milliseconds(50),
                  [&](const ObjectListing &value) { unchanged = value; });
    runUntil([this] { return m_standIn.counters().at("waitingWatches") == 2; });
    put(m_store, "config/head", "1", 0);
    runUntil([&] { return unchanged.has_value(); });
    EXPECT_EQ(unchanged->outcome, StoreOutcome::Done);
    EXPECT_THAT(unchanged->objects, testing::IsEmpty());
    EXPECT_EQ(unchanged->revision.number, 1u);
    EXPECT_FALSE(changed.has_value());
    put(m_store, "plan/current", "1", 0);
    runUntil([&] { return changed.has_value(); });
    EXPECT_EQ(changed->revision.number, 2u);
    ASSERT_EQ(changed->objects.size(), 1u);
    m_store.watch("plan/", StoreRevision{ StoreEra(1), 1 }, seconds(60),
                  [&](const ObjectListing &value) { missed = value; });
    runUntil([&] { return missed.has_value(); });
    EXPECT_EQ(missed->objects.size(), 1u);
    // The store watches whole kinds, so that the client had to repeat both watches after the change
    // of the other prefix.
    EXPECT_EQ(m_standIn.counters().at("watch"), 5);
}

// Guards against watches that remain open in the store after their client was destroyed.
TEST_F(ObjectStoreClientTest, DestroyedClientEndsItsWatch)
{
    bool called = false;
    {
        ObjectStoreClient store(m_loop, m_client, "127.0.0.1", m_standIn.port(), Timeout);
        store.watch("plan/", StoreRevision{ StoreEra(1), 0 }, seconds(60),
                    [&called](const ObjectListing &) { called = true; });
        runUntil([this] { return m_standIn.counters().at("waitingWatches") == 1; });
    }
    runUntil([this] { return m_standIn.counters().at("waitingWatches") == 0; });
    EXPECT_FALSE(called);
}

// Guards against a rejected write being reported as possibly written, and a rejected read as a
// missing object.
TEST_F(ObjectStoreClientTest, OutageIsNotApplied)
{
    for (const char *kind : { "unavailable", "refused" }) {
        // Leaves a persistent connection from before the outage, which must not change the outcome.
        EXPECT_EQ(get(m_store, "a").outcome, StoreOutcome::NotFound);
        std::optional<ObjectListing> watched;
        m_store.watch("a", StoreRevision{ StoreEra(1), 0 }, seconds(60),
                      [&](const ObjectListing &value) { watched = value; });
        runUntil([this] { return m_standIn.counters().at("waitingWatches") == 1; });
        m_standIn.control({ { "outage", true }, { "outageKind", kind } });
        runUntil([&watched] { return watched.has_value(); });
        EXPECT_NE(watched->outcome, StoreOutcome::Done);
        EXPECT_EQ(put(m_store, "a", "1", 0).outcome, StoreOutcome::NotApplied);
        EXPECT_EQ(get(m_store, "a").outcome, StoreOutcome::NotApplied);
        EXPECT_EQ(list(m_store, "a").outcome, StoreOutcome::NotApplied);
        EXPECT_EQ(instances(m_store).outcome, StoreOutcome::NotApplied);
        m_standIn.control({ { "outage", false } });
        runFor(milliseconds(1));
    }
    EXPECT_EQ(m_standIn.objects().revision(), 0u);
    EXPECT_EQ(put(m_store, "a", "1", 0).outcome, StoreOutcome::Done);
}

// Guards against a write that took effect being reported as not applied.
TEST_F(ObjectStoreClientTest, LostResponseIsUnknown)
{
    m_standIn.control({ { "loseAnswers", 1 } });
    EXPECT_EQ(put(m_store, "a", "1", 0).outcome, StoreOutcome::Unknown);
    EXPECT_EQ(get(m_store, "a").value, "1");
    EXPECT_EQ(put(m_store, "a", "2", 1).outcome, StoreOutcome::Done);
    EXPECT_EQ(m_standIn.counters().at("lostAnswers"), 1);
}

// Guards against a write to a slow store being reported as not applied, whether the write takes
// effect before or after the client times out.
TEST_F(ObjectStoreClientTest, TimeoutIsUnknown)
{
    ObjectStoreClient store(m_loop, m_client, "127.0.0.1", m_standIn.port(), milliseconds(50));
    m_standIn.control({ { "delayMs", 60'000 } });
    EXPECT_EQ(put(store, "a", "1", 0).outcome, StoreOutcome::Unknown);
    EXPECT_EQ(m_standIn.objects().revisionOf("documents", "a"), 1u);
    m_standIn.control({ { "delayMs", 0 }, { "effectDelayMs", 100 } });
    EXPECT_EQ(put(store, "b", "1", 0).outcome, StoreOutcome::Unknown);
    EXPECT_EQ(m_standIn.objects().revisionOf("documents", "b"), 0u);
    runUntil([this] { return m_standIn.objects().revisionOf("documents", "b") == 2; });
}

struct StoreResponse
{
    const char *name;
    const char *bytes;
    StoreOutcome outcome;
};

std::ostream &operator<<(std::ostream &out, const StoreResponse &value)
{
    return out << value.name;
}

class StoreAnswerTest : public ObjectStoreClientTest,
                        public testing::WithParamInterface<StoreResponse>
{};

// Guards against a write being reported as done or not applied although the store's response does
// not show it.
TEST_P(StoreAnswerTest, WriteOutcomeFollowsTheResponse)
{
    RawListener listener(m_loop);
    listener.accepted().connect([](RawSocket &socket) {
        socket.dataReceived().connect([&socket] {
            socket.send(GetParam().bytes);
            socket.closeAfterSending();
        });
    });
    ObjectStoreClient store(m_loop, m_client, "127.0.0.1", listener.port(), Timeout);
    EXPECT_EQ(put(store, "a", "1", 0).outcome, GetParam().outcome);
}

INSTANTIATE_TEST_SUITE_P(
        All, StoreAnswerTest,
        testing::Values(
                StoreResponse{ "None", "", StoreOutcome::Unknown },
                StoreResponse{ "CutHead", "HTTP/1.1 200 OK\r\nContent-Le", StoreOutcome::Unknown },
                StoreResponse{ "Empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                               StoreOutcome::Unknown },
                StoreResponse{ "WithoutRevision",
                               "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\n"
                               R"({"metadata":{"name":"a"}})",
                               StoreOutcome::Unknown },
                StoreResponse{ "BadRevision",
                               "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n"
                               R"({"metadata":{"name":"a","revision":"x"}})",
                               StoreOutcome::Unknown },
                StoreResponse{ "ServerError", "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n",
                               StoreOutcome::Unknown },
                StoreResponse{ "GatewayTimeout", "HTTP/1.1 504 x\r\nContent-Length: 0\r\n\r\n",
                               StoreOutcome::Unknown },
                StoreResponse{ "Unavailable", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n",
                               StoreOutcome::NotApplied },
                StoreResponse{ "BadRequest", "HTTP/1.1 400 x\r\nContent-Length: 0\r\n\r\n",
                               StoreOutcome::NotApplied }),
        [](const testing::TestParamInfo<StoreResponse> &info) {
            return std::string(info.param.name);
        });

// Guards against a malformed listing being treated as an empty one, which would look like the loss
// of all objects or instances.
TEST_F(ObjectStoreClientTest, MalformedListingIsUnknown)
{
    for (const std::string body : { "", "{}", "[1]", R"({"items":[],"has_more":false,"as_of":-1})",
                                    R"({"items":{},"has_more":false,"as_of":1})",
                                    R"({"items":[],"has_more":"no","as_of":1})" }) {
        RawListener listener(m_loop);
        listener.accepted().connect([&body](RawSocket &socket) {
            socket.dataReceived().connect([&body, &socket] {
                socket.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
                            + std::to_string(body.size()) + "\r\n\r\n" + body);
            });
        });
        ObjectStoreClient store(m_loop, m_client, "127.0.0.1", listener.port(), Timeout);
        EXPECT_EQ(list(store, "a").outcome, StoreOutcome::Unknown) << body;
        EXPECT_EQ(instances(store).outcome, StoreOutcome::Unknown) << body;
    }
}

// Guards against a registration with an unknown state being treated as a running instance.
TEST_F(ObjectStoreClientTest, UnknownStateMakesTheListOfInstancesUnknown)
{
    m_standIn.objects().put("servers", "t1", { { "state", "gone" } });
    EXPECT_EQ(instances(m_store).outcome, StoreOutcome::Unknown);
}

// Guards against a listing of several pages that lacks objects of a later page.
TEST_F(ObjectStoreClientTest, ListsAllPages)
{
    for (int i = 0; i < 120; ++i) {
        m_standIn.objects().put("documents", "plan/" + std::to_string(1'000 + i),
                                { { "text", "x" } });
    }
    const ObjectListing listing = list(m_store, "plan/");
    EXPECT_EQ(listing.outcome, StoreOutcome::Done);
    EXPECT_EQ(listing.objects.size(), 120u);
}

// Guards against a stand-in store whose list of instances has no lag, so that other tests would not
// notice if a component relied on an up-to-date list.
TEST_F(ObjectStoreClientTest, InstanceListLags)
{
    m_standIn.setInstances(Json::parse(R"([{"id":"e1","state":"live","kind":"entry"}])"));
    InstanceListing listing = instances(m_store);
    EXPECT_EQ(listing.outcome, StoreOutcome::Done);
    ASSERT_EQ(listing.instances.size(), 1u);
    EXPECT_EQ(listing.instances[0].id, "e1");
    EXPECT_FALSE(listing.instances[0].isTarget);
    EXPECT_FALSE(listing.instances[0].leaving);
    m_standIn.control({ { "listLagMs", 100 } });
    m_standIn.setInstances(Json::parse(R"([{"id":"t1","state":"leaving","kind":"target"}])"));
    listing = instances(m_store);
    // The first change may be hidden by the lag as well.
    EXPECT_TRUE(listing.instances.empty() || listing.instances[0].id == "e1");
    // The lag is inside the store, so that only the results of repeated calls show its end.
    const MonotonicTime end = m_loop.now() + seconds(20);
    while ((listing.instances.empty() || listing.instances[0].id != "t1") && m_loop.now() < end) {
        listing = instances(m_store);
    }
    ASSERT_EQ(listing.instances.size(), 1u);
    EXPECT_EQ(listing.instances[0].id, "t1");
    EXPECT_TRUE(listing.instances[0].isTarget);
    EXPECT_TRUE(listing.instances[0].leaving);
}

// Guards against failures of the stand-in's control endpoints, which other tests rely on.
TEST_F(ObjectStoreClientTest, ControlEndpointsWork)
{
    const auto call = [this](std::uint16_t port, const std::string &method, const std::string &uri,
                             const std::string &body) {
        HttpRequest request;
        request.address = "127.0.0.1";
        request.port = port;
        request.method = method;
        request.uri = uri;
        request.body = body;
        std::optional<HttpResponse> result;
        const HttpCallPtr pending = m_client.fetch(
                request, ByteCount{ 10'000 },
                [&result](const HttpResponse &response) { result = response; },
                [&result](const HttpFailure &) { result = HttpResponse(); });
        return await(result);
    };
    for (const std::uint16_t port : { m_standIn.port(), m_standIn.controlPort() }) {
        EXPECT_EQ(call(port, "POST", "/control", R"({"delayMs":3,"outage":false})").head.status,
                  200);
        EXPECT_EQ(Json::parse(call(port, "GET", "/control", "").body).at("delayMs"), 3);
        EXPECT_EQ(call(port, "POST", "/control", R"({"outrage":true})").head.status, 400);
        EXPECT_EQ(call(port, "POST", "/control", "no JSON").head.status, 400);
        EXPECT_EQ(call(port, "POST", "/control/instances",
                       R"({"instances":[{"id":"e1","state":"live","kind":"entry"}]})")
                          .head.status,
                  200);
        EXPECT_EQ(call(port, "GET", "/control/nothing", "").head.status, 404);
    }
    instances(m_store);
    get(m_store, "a");
    const Json counters =
            Json::parse(call(m_standIn.controlPort(), "GET", "/control/counters", "").body);
    // Targets and entries are listed by one call each.
    EXPECT_EQ(counters.at("list"), 2);
    EXPECT_EQ(counters.at("get"), 1);
    EXPECT_EQ(counters.at("put"), 0);
    call(m_standIn.port(), "POST", "/control", R"({"outage":true,"outageKind":"refused"})");
    runFor(milliseconds(1));
    EXPECT_EQ(call(m_standIn.port(), "GET", "/control", "").head.status, 0);
    EXPECT_EQ(call(m_standIn.controlPort(), "POST", "/control", R"({"outage":false})").head.status,
              200);
    runFor(milliseconds(1));
    EXPECT_EQ(call(m_standIn.port(), "GET", "/control", "").head.status, 200);
}

} // namespace
} // namespace Tarragon
