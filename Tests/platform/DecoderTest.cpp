#include "base/Error.h"
#include "platform/RegistryDecoder.h"
#include "platform/RequestCodec.h"
#include "platform/RouteTableDecoder.h"

#include <gtest/gtest.h>

namespace Tarragon::Platform {
namespace {

using Json = nlohmann::json;

const char *const DesiredState = R"({"version":"r12",
"routes":{"columns":["name","host","path_prefix","kind","timeout_s","target_latency_s","priority",
"service","max_attempts","session_affinity","allowed_regions","traffic_split"],
"rows":[["r-1","a.example","/x/","unsafe",1.5,0.3,1,"pay",2,true,[],null],
["r-2","b.example","/y/","safe",1.2,0.25,2,null,3,false,["north"],
[{"service":"one","weight":90},{"service":"two","weight":10}]],
["r-3","b.example","/z/","download",1,0.2]]},
"services":{"columns":["name","max_connections","cold_start_s","cold_per_s","news"],
"rows":[["pay",330,3.0,15.0,1],["one"]]},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,
"idle_timeout_s":15}})";

// Guards against a desired state that is decoded with another meaning than the operators wrote.
TEST(RouteTableDecoderTest, ReadsTheDesiredState)
{
    Json spec = Json::parse(DesiredState);
    // A row may leave out values at its end.
    spec["routes"]["rows"][2].push_back(nullptr);
    spec["routes"]["rows"][2].push_back("one");
    const RouteTable table = decodeRouteTable(spec);
    EXPECT_EQ(table.version, RouteVersion(12));
    ASSERT_EQ(table.routes.size(), 3u);
    const Route &pay = table.routes[0];
    EXPECT_FALSE(pay.isIdempotent);
    EXPECT_EQ(pay.timeout, milliseconds(1'500));
    EXPECT_EQ(pay.latencyGoal, milliseconds(300));
    EXPECT_EQ(pay.priority, 1);
    EXPECT_EQ(pay.maxAttempts, 2);
    EXPECT_TRUE(pay.hasObjectAffinity);
    ASSERT_EQ(pay.weightedServices.size(), 1u);
    EXPECT_EQ(pay.weightedServices[0].service, ServiceId("pay"));
    const Route &split = table.routes[1];
    EXPECT_TRUE(split.isIdempotent);
    ASSERT_EQ(split.weightedServices.size(), 2u);
    EXPECT_EQ(split.weightedServices[1].service, ServiceId("two"));
    EXPECT_DOUBLE_EQ(split.weightedServices[1].weight, 10);
    EXPECT_TRUE(split.allows(RegionId("north")));
    EXPECT_FALSE(split.allows(RegionId("south")));
    EXPECT_TRUE(table.routes[2].isIdempotent);
    EXPECT_EQ(table.routes[2].maxAttempts, 1);
    const HostedService &service = table.services.at(ServiceId("pay"));
    EXPECT_EQ(service.coldDuration, seconds(3));
    EXPECT_DOUBLE_EQ(service.coldRequestsPerSecond, 15);
    EXPECT_EQ(table.limits.bodyBytes.value, 67'108'864u);
    EXPECT_EQ(table.limits.headerTimeout, seconds(3));
    EXPECT_EQ(table.limits.idleTimeout, seconds(15));
}

// Guards against a malformed desired state that is applied in part.
TEST(RouteTableDecoderTest, RejectsMalformedDesiredStates)
{
    const std::vector<std::pair<Json::json_pointer, Json>> faults = {
        { Json::json_pointer("/version"), "12" },
        { Json::json_pointer("/version"), "r" },
        { Json::json_pointer("/routes"), 3 },
        { Json::json_pointer("/routes/rows/0"), "row" },
        { Json::json_pointer("/routes/rows/0/4"), "soon" },
        { Json::json_pointer("/routes/rows/0/4"), -1 },
        { Json::json_pointer("/routes/rows/0/0"), nullptr },
        { Json::json_pointer("/services/rows/0/2"), "long" },
        { Json::json_pointer("/limits/max_body_bytes"), -5 },
    };
    for (const auto &[where, value] : faults) {
        Json spec = Json::parse(DesiredState);
        spec["routes"]["rows"].erase(2);
        EXPECT_NO_THROW(decodeRouteTable(spec));
        spec[where] = value;
        EXPECT_ANY_THROW(decodeRouteTable(spec)) << where.to_string() << " " << value;
    }
}

const char *const Workspaces = R"({"columns":["name","api_keys","priority","rate_per_s","burst",
"allowed_regions"],"rows":[["harbour",["k1","k2"],2,7.5,9,["north"]],["pilots",["k3"],null,0]]})";

// Guards against workspaces that are decoded with other keys, limits or regions than stated.
TEST(RouteTableDecoderTest, ReadsWorkspaces)
{
    Json spec = Json::parse(DesiredState);
    spec["routes"]["rows"].erase(2);
    EXPECT_FALSE(decodeRouteTable(spec).workspaces.has_value());
    spec["tenants"] = Json::parse(Workspaces);
    spec["routes"]["columns"].push_back("public");
    spec["routes"]["rows"][0].push_back(true);
    const RouteTable table = decodeRouteTable(spec);
    EXPECT_TRUE(table.routes[0].isPublic);
    EXPECT_FALSE(table.routes[1].isPublic);
    ASSERT_TRUE(table.workspaces.has_value());
    const Workspace *harbour = table.workspaces->find(AccessKey("k2"));
    ASSERT_NE(harbour, nullptr);
    EXPECT_EQ(harbour->name, WorkspaceName("harbour"));
    EXPECT_EQ(harbour->priority, 2);
    EXPECT_EQ(harbour->cap, (UsageCap{ 7.5, 9 }));
    EXPECT_TRUE(harbour->allowedRegions.contains(RegionId("north")));
    EXPECT_FALSE(harbour->allowedRegions.contains(RegionId("south")));
    const Workspace *pilots = table.workspaces->find(AccessKey("k3"));
    ASSERT_NE(pilots, nullptr);
    EXPECT_FALSE(pilots->cap.has_value());
    EXPECT_TRUE(pilots->allowedRegions.contains(RegionId("south")));
}

// Guards against a table of workspaces that is applied in part, and against keys in error texts.
TEST(RouteTableDecoderTest, RejectsFaultyWorkspacesWithoutNamingKeys)
{
    const std::vector<std::pair<Json::json_pointer, Json>> faults = {
        { Json::json_pointer("/rows/1/1/0"), "k1" },
        { Json::json_pointer("/rows/1/0"), "harbour" },
        { Json::json_pointer("/rows/1/1/0"), "" },
        { Json::json_pointer("/rows/1/1/0"), 7 },
        { Json::json_pointer("/rows/1/1"), "k1" },
        { Json::json_pointer("/rows/1/3"), -1 },
        { Json::json_pointer("/rows/1"), Json::array({ "x", "k1", "k1", 1, 1, 1, 1 }) },
        { Json::json_pointer("/rows/1"), "k1" },
    };
    for (const auto &[where, value] : faults) {
        Json spec = Json::parse(DesiredState);
        spec["routes"]["rows"].erase(2);
        spec["tenants"] = Json::parse(Workspaces);
        spec["tenants"][where] = value;
        try {
            decodeRouteTable(spec);
            ADD_FAILURE() << where.to_string() << " " << value;
        } catch (const std::exception &error) {
            EXPECT_EQ(std::string(error.what()).find("k1"), std::string::npos) << error.what();
        }
    }
}

StoredItem targetItem()
{
    return StoredItem{ "i-1", StoreRevision{ StoreEra(1), 5 },
                       Json::parse(R"({"service":"one","address":"10.0.0.9:8080","zone":"thess-a",
                       "version":"v1","slots":6,"state":"ready","cold_remaining_s":1.5,"seq":4,
                       "born":1790000000000})") };
}

// Guards against registrations of targets that are decoded to wrong values.
TEST(RegistryDecoderTest, ReadsTargets)
{
    StoredItem item = targetItem();
    const DiscoveredTarget target = decodeTarget(item);
    EXPECT_EQ(target.id, TargetId("i-1"));
    EXPECT_EQ(target.service, ServiceId("one"));
    EXPECT_EQ(target.address, (Endpoint{ "10.0.0.9", 8080 }));
    EXPECT_EQ(target.slots.value, 6);
    EXPECT_EQ(target.coldRemaining, milliseconds(1'500));
    EXPECT_EQ(target.startTimeMs, 1'790'000'000'000u);
    EXPECT_FALSE(target.isDraining);
    item.spec["state"] = "draining";
    item.spec["news"] = Json::array();
    EXPECT_TRUE(decodeTarget(item).isDraining);
}

// Guards against malformed registrations, written by others, that are used as targets.
TEST(RegistryDecoderTest, RejectsMalformedTargets)
{
    const std::vector<std::pair<const char *, Json>> faults = {
        { "service", 4 },          { "service", nullptr },
        { "address", "nowhere" },  { "address", 8080 },
        { "zone", Json::array() }, { "slots", 0 },
        { "slots", "six" },        { "state", "odd" },
        { "state", nullptr },      { "cold_remaining_s", "x" },
        { "born", "today" },       { "version", 1 },
        { "version", nullptr },    { "seq", "4" },
        { "seq", Json::object() },
    };
    for (const auto &[key, value] : faults) {
        StoredItem item = targetItem();
        item.spec[key] = value;
        EXPECT_ANY_THROW(decodeTarget(item)) << key << " " << value;
    }
    StoredItem item = targetItem();
    item.spec = "text";
    EXPECT_ANY_THROW(decodeTarget(item));
}

// Guards against entry records that other entries cannot decode.
TEST(RegistryDecoderTest, DecodesEncodedEntryRecords)
{
    EntryRecord record;
    record.instance = InstanceId("edge-1");
    record.domain = FailureDomainId("thess-a");
    record.region = RegionId("gr-north");
    record.incarnation = Incarnation(0x7fff'ffff'ffff'fff1);
    record.front = Endpoint{ "10.0.0.1", 80 };
    record.rpc = Endpoint{ "10.0.0.1", 7200 };
    const Json stored = Json::parse(encodeEntry(record).dump());
    EXPECT_EQ(decodeEntry(StoredItem{ "edge-1", StoreRevision{ StoreEra(1), 1 }, stored }), record);
    record.capacity = Cores{ 0.1 };
    const Json withCapacity = Json::parse(encodeEntry(record).dump());
    EXPECT_EQ(decodeEntry(StoredItem{ "edge-1", StoreRevision{ StoreEra(1), 1 }, withCapacity }),
              record);
}

// Guards against an entry that is left out because its capacity is malformed.
TEST(RegistryDecoderTest, MalformedCapacityOfAnEntryIsUnknown)
{
    EntryRecord record;
    record.front = Endpoint{ "10.0.0.1", 80 };
    record.rpc = Endpoint{ "10.0.0.1", 7200 };
    for (const Json &value : { Json(0), Json(-1), Json("half"), Json() }) {
        Json spec = encodeEntry(record);
        spec["capacity"] = value;
        const StoredItem item{ "edge-1", StoreRevision{ StoreEra(1), 1 }, spec };
        EXPECT_FALSE(decodeEntry(item).capacity.has_value()) << value;
    }
}

TargetResponse responseWithLimit(const std::string &text)
{
    HttpResponseHead head;
    head.status = 200;
    head.headers.add("Server-Limit", text);
    return decodeTargetResponse(head);
}

// Guards against a target's limit that is lost or misread.
TEST(RequestCodecTest, ReadsTheLimitOfATarget)
{
    EXPECT_EQ(responseWithLimit("9.3").limit, RequestRate{ 9.3 });
    EXPECT_EQ(responseWithLimit(" 12 ").limit, RequestRate{ 12 });
    EXPECT_EQ(responseWithLimit("0").limit, RequestRate{ 0 });
    EXPECT_FALSE(responseWithLimit("9.3").isLimitMalformed);
    const TargetResponse none = decodeTargetResponse(HttpResponseHead{ 200, {} });
    EXPECT_FALSE(none.limit.has_value());
    EXPECT_FALSE(none.isLimitMalformed);
}

// Guards against a malformed limit that is used or mistaken for the end of the limit.
TEST(RequestCodecTest, RejectsMalformedLimits)
{
    for (const char *text : { "", "-1", "many", "nan", "inf", "1e999", "9,3", "9.3/s" }) {
        SCOPED_TRACE(text);
        EXPECT_FALSE(responseWithLimit(text).limit.has_value());
        EXPECT_TRUE(responseWithLimit(text).isLimitMalformed);
    }
}

// Guards against a malformed pace that is used, or that invalidates the figures before it.
TEST(RequestCodecTest, ThePaceIsOptional)
{
    const std::vector<std::pair<std::string, std::optional<int>>> cases{
        { "1,2,3", std::nullopt }, { "1,2,3,250", 250 },
        { "1,2,3, 1", 1 },         { "1,2,3,100000", 100'000 },
        { "1,2,3,0", {} },         { "1,2,3,100001", {} },
        { "1,2,3,-5", {} },        { "1,2,3,1e2", {} },
        { "1,2,3,", {} },          { "1,2,3,99999999999999", {} },
        { "1,2,3,100,7", {} },
    };
    for (const auto &[text, pace] : cases) {
        HttpResponseHead head{ 200, {} };
        head.headers.add("Server-Load", text);
        const std::optional<LoadReport> load = decodeTargetResponse(head).load;
        ASSERT_TRUE(load.has_value()) << text;
        EXPECT_EQ(load->slots, 3) << text;
        EXPECT_EQ(load->pacePercent, pace) << text;
    }
}

} // namespace
} // namespace Tarragon::Platform
