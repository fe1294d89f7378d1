#include "entry/LookupApi.h"

#include "base/Digest.h"
#include "entry/Failure.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Tarragon {

namespace {

/// Retry-After of responses with status 503.
constexpr milliseconds RetryAfterNoEntry{ 1'000 };

/// Longest TTL of a lookup without a request-id seed. It is short because a new primary and backup
/// agree on a seed within a few heartbeats.
constexpr milliseconds TtlWithoutSeed{ 200 };

void refuse(const HttpExchangePtr &exchange, int status, const std::string &error,
            const std::string &detail)
{
    const milliseconds retryAfter = status == 503 ? RetryAfterNoEntry : milliseconds(0);
    replyWithFailure(*exchange, Failure{ status, error, Verdict::NotRun, detail, retryAfter }, "");
}

} // namespace

LookupApi::LookupApi(EventLoop &loop, ServingState &state, Metrics &metrics,
                     std::function<std::string()> seed)
    : m_loop(loop)
    , m_state(state)
    , m_metrics(metrics)
    , m_seed(std::move(seed))
{}

void LookupApi::handle(const HttpExchangePtr &exchange)
{
    if (m_state.decider() == nullptr) {
        refuse(exchange, 503, "no-configuration", "this entry has no configuration yet");
        return;
    }
    const ServiceId service(exchange->query("service"));
    std::string caller = exchange->query("caller");
    if (caller.empty()) {
        caller = exchange->remoteAddress();
    }
    const std::optional<std::uint32_t> address = parseIpv4(caller);
    if (!address.has_value()) {
        refuse(exchange, 400, "bad-request",
               "caller: found \"" + caller.substr(0, 40) + "\", expected an IPv4 address");
        return;
    }
    const ServiceConfiguration *configuration = m_state.findService(service);
    if (configuration == nullptr) {
        refuse(exchange, 404, "unknown-service",
               "the document names no service \"" + service.value().substr(0, 80) + "\"");
        return;
    }
    const MonotonicTime started = m_loop.now();
    const LookupDecision decision =
            m_state.decider()->decide(service, *address, stableHash(caller), m_state.entryStates());
    m_metrics.recordLookup(service, decision.entryCount > 0, m_loop.now() - started);
    if (decision.entryCount == 0) {
        refuse(exchange, 503, "no-entry",
               "no entry is available for service \"" + service.value() + "\"");
        return;
    }
    HttpHeaders headers;
    headers.set("Content-Type", "application/json");
    exchange->reply(200, headers, format(*configuration, decision));
}

std::string LookupApi::format(const ServiceConfiguration &service,
                              const LookupDecision &decision) const
{
    // Ids and addresses of an accepted document need no escaping, and lookups are the most frequent
    // requests, so the JSON text is concatenated without a JSON tree.
    const LookupDecider &decider = *m_state.decider();
    const std::string seed = m_seed();
    // Without a seed the caller cannot make bookings, so the TTL makes it look up again soon.
    const milliseconds ttl =
            seed.empty() ? std::min(service.lookupTtl, TtlWithoutSeed) : service.lookupTtl;
    std::string text;
    text.reserve(512);
    text += R"({"service":")" + service.id.value() + R"(","generation":)"
            + std::to_string(m_state.configuration()->generation.value()) + R"(,"ttlMs":)"
            + std::to_string(ttl.count()) + R"(,"requestIdSeed":")" + seed + R"(","entries":[)";
    for (std::size_t i = 0; i < decision.entryCount; ++i) {
        const LookupDecider::Entry &entry = decider.entries()[decision.entries[i]];
        text += i == 0 ? "" : ",";
        text += R"({"id":")" + entry.seat.id.value() + R"(","address":")"
                + toString(entry.seat.http) + R"(","failureDomain":")" + entry.domain.value()
                + R"(","region":")" + decider.regions()[entry.region].value() + "\"}";
    }
    text += "]}\n";
    return text;
}

std::string LookupApi::explain(const ServiceId &service, const std::string &callerAddress) const
{
    const std::optional<std::uint32_t> address = parseIpv4(callerAddress);
    nlohmann::json json;
    if (m_state.decider() == nullptr || !address.has_value()) {
        json["error"] = address.has_value() ? "no-configuration" : "bad-request";
        return json.dump();
    }
    const LookupExplanation why = m_state.decider()->explain(
            service, *address, stableHash(callerAddress), m_state.entryStates());
    json["service"] = why.service.value();
    json["caller"] = callerAddress;
    json["generation"] = why.generation.value();
    json["planVersion"] = why.plan.value();
    json["outcome"] = why.outcome == LookupOutcome::Decided ? "found" : toString(why.outcome);
    json["block"] = why.block;
    json["callerRegion"] = why.callerRegion.value();
    json["servingRegion"] = why.servingRegion.value();
    json["fromPlan"] = why.fromPlan;
    json["candidates"] = nlohmann::json::array();
    for (const LookupExplanation::Candidate &it : why.candidates) {
        json["candidates"].push_back({ { "region", it.region.value() },
                                       { "weightPpm", it.weight.partsPerMillion },
                                       { "score", it.score } });
    }
    json["entries"] = nlohmann::json::array();
    for (const LookupExplanation::EntryInput &it : why.entries) {
        json["entries"].push_back({ { "id", it.id.value() },
                                    { "failureDomain", it.domain.value() },
                                    { "region", it.region.value() },
                                    { "state", toString(it.state) },
                                    { "position", it.position } });
    }
    return json.dump();
}

} // namespace Tarragon
