#include "platform/RegistryDecoder.h"
#include "platform/RequestCodec.h"
#include "platform/RouteTableDecoder.h"

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

namespace Tarragon::Platform {
namespace {

using Json = nlohmann::json;

/// Changes random values of a message to those that other writers might send: wrong types, extreme
/// values, missing and additional fields.
class Mutation
{
public:
    explicit Mutation(unsigned int seed)
        : m_random(seed)
    {}

    void apply(Json &value)
    {
        const bool replacesThisValue =
                value.empty() || !value.is_structured() || m_random() % 4 == 0;
        if (replacesThisValue) {
            value = unexpectedValue();
            return;
        }
        const std::size_t index = m_random() % value.size();
        Json::iterator it = value.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(index));
        if (m_random() % 6 == 0) {
            value.erase(it);
        } else if (m_random() % 8 == 0 && value.is_array()) {
            value.push_back(unexpectedValue());
        } else {
            apply(*it);
        }
    }

private:
    Json unexpectedValue()
    {
        const std::vector<Json> values = { nullptr,
                                           true,
                                           -1,
                                           0,
                                           1e308,
                                           -1e308,
                                           18446744073709551615ULL,
                                           "",
                                           "r",
                                           "127.0.0.1:99999",
                                           std::string(70'000, 'x'),
                                           "\xff\xfe",
                                           Json::array(),
                                           Json::object(),
                                           Json::array({ Json::array({ 1 }) }) };
        return values[m_random() % values.size()];
    }

    std::mt19937 m_random;
};

template<typename Decode>
void expectValueOrError(const Json &valid, const Decode &decode)
{
    constexpr unsigned int Seeds = 4'000;
    unsigned int rejected = 0;
    for (unsigned int seed = 1; seed <= Seeds; ++seed) {
        Json message = valid;
        Mutation mutation(seed);
        for (unsigned int i = 0; i <= seed % 3; ++i) {
            mutation.apply(message);
        }
        try {
            decode(message);
        } catch (const std::exception &) {
            ++rejected;
        }
    }
    // Mutations that are all accepted, or all rejected, would not test the decoder.
    EXPECT_GT(rejected, Seeds / 10);
    EXPECT_LT(rejected, Seeds);
}

StoredItem itemOf(const Json &spec)
{
    StoredItem item;
    item.name = "i-1";
    item.revision = StoreRevision{ StoreEra(1), 7 };
    item.spec = spec;
    return item;
}

// Guards against a malformed message that crashes the process: each message is decoded or rejected
// with an exception.
TEST(DecoderFuzzTest, TargetsAreDecodedOrRejected)
{
    const Json valid =
            Json::parse(R"({"service":"one","address":"127.0.0.1:9","zone":"d1","slots":4,
"state":"ready","cold_remaining_s":1.5,"seq":9,"born":1790000000000,"version":"v1"})");
    expectValueOrError(valid, [](const Json &spec) { decodeTarget(itemOf(spec)); });
}

TEST(DecoderFuzzTest, EntriesAreDecodedOrRejected)
{
    const Json valid = Json::parse(R"({"failureDomain":"d1","region":"r1","incarnation":5,
"front":"127.0.0.1:1","rpc":"127.0.0.1:2"})");
    expectValueOrError(valid, [](const Json &spec) { decodeEntry(itemOf(spec)); });
}

TEST(DecoderFuzzTest, DesiredStatesAreDecodedOrRejected)
{
    const Json valid = Json::parse(R"({"version":"r12",
"routes":{"columns":["name","host","path_prefix","kind","timeout_s","target_latency_s","service"],
"rows":[["r-1","a.example","/x/","unsafe",1.5,0.3,"pay"],
["r-2","b.example","/y/","safe",1.2,0.25,"pay"]]},
"services":{"columns":["name","max_connections","cold_start_s","cold_per_s"],
"rows":[["pay",330,3.0,15.0]]},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,
"idle_timeout_s":15}})");
    expectValueOrError(valid, [](const Json &spec) { decodeRouteTable(spec); });
}

// Guards against malformed header fields of a target that make its response unusable.
TEST(DecoderFuzzTest, ResponseHeadsOfTargetsAreAlwaysDecoded)
{
    std::mt19937 random(1);
    const std::vector<std::string> values = { "",         " ",          "-1",
                                              "1e999",    "nan",        "inf",
                                              "1,2",      "1",          "0.5",
                                              "3,0",      "9,9,999999", std::string(30'000, '9'),
                                              "\x80\xff", "1;2" };
    for (int i = 0; i < 4'000; ++i) {
        HttpResponseHead head;
        head.status = i % 2 == 0 ? 503 : 200;
        for (const char *name : { "Retry-After", "Server-Load", "Server-Leaving", "Server-Limit",
                                  "Attempt-Id", "Connection", "Keep-Alive" }) {
            head.headers.add(name, values[random() % values.size()]);
        }
        const TargetResponse answer = decodeTargetResponse(head);
        EXPECT_EQ(answer.status, head.status);
        EXPECT_FALSE(answer.retryAfter.has_value() && answer.isRetryAfterMalformed);
        EXPECT_FALSE(answer.limit.has_value() && answer.isLimitMalformed);
        EXPECT_GE(answer.limit.value_or(RequestRate{}).perSecond, 0);
    }
}

} // namespace
} // namespace Tarragon::Platform
