#include "StandIns/caller/LookupCache.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Tarragon {

namespace {

constexpr milliseconds LookupTimeout{ 1'000 };
constexpr ByteCount MaxLookupBytes{ 64 * 1024 };
constexpr milliseconds BackoffBetweenRounds{ 100 };
/// Number of times that each known entry is tried before a lookup fails.
constexpr std::size_t LookupRounds = 10;

std::optional<CachedLookup> parseLookup(const std::string &text, MonotonicTime now)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("entries")) {
        return std::nullopt;
    }
    CachedLookup lookup;
    for (const nlohmann::json &it : json["entries"]) {
        lookup.entries.push_back(parseEntryAddress(it.value("address", "")));
    }
    lookup.requestIdSeed = json.value("requestIdSeed", "");
    lookup.expires = now + milliseconds(json.value("ttlMs", 0));
    if (lookup.entries.empty()) {
        return std::nullopt;
    }
    return lookup;
}

} // namespace

LookupCache::LookupCache(EventLoop &loop, HttpClient &client, const CallerOptions &options)
    : m_loop(loop)
    , m_client(client)
    , m_options(options)
    , m_entries(options.entries)
{}

void LookupCache::find(sigc::slot<void(const std::optional<CachedLookup> &)> callback)
{
    if (m_lookup.has_value() && m_loop.now() < m_lookup->expires) {
        callback(m_lookup);
        return;
    }
    m_waiting.push_back(std::move(callback));
    if (m_waiting.size() == 1) {
        sendLookup(0);
    }
}

void LookupCache::invalidate()
{
    m_lookup.reset();
    // The next lookup starts at another entry, because the last one may have an outdated view of
    // the other entries.
    ++m_firstEntry;
}

void LookupCache::sendLookup(std::size_t attempt)
{
    if (attempt >= m_entries.size() * LookupRounds) {
        finish(std::nullopt);
        return;
    }
    const EntryAddress &entry = m_entries[(m_firstEntry + attempt) % m_entries.size()];
    HttpRequest request;
    request.address = entry.address;
    request.port = entry.port;
    request.uri = "/v1/lookup?service=" + m_options.service + "&caller=" + m_options.callerAddress;
    request.timeout = LookupTimeout;
    const auto tryNextEntry = [this, attempt] {
        const bool roundEnds = (attempt + 1) % m_entries.size() == 0;
        m_retryTimer = m_loop.schedule(roundEnds ? BackoffBetweenRounds : milliseconds(0),
                                       [this, attempt] { sendLookup(attempt + 1); });
    };
    m_call = m_client.fetch(
            request, MaxLookupBytes,
            [this, tryNextEntry](const HttpResponse &response) {
                const std::optional<CachedLookup> lookup =
                        response.head.status == 200 ? parseLookup(response.body, m_loop.now())
                                                    : std::nullopt;
                if (!lookup.has_value()) {
                    tryNextEntry();
                    return;
                }
                finish(lookup);
            },
            [tryNextEntry](const HttpFailure &) { tryNextEntry(); });
}

void LookupCache::finish(const std::optional<CachedLookup> &lookup)
{
    m_lookup = lookup;
    std::vector<sigc::slot<void(const std::optional<CachedLookup> &)>> waiting;
    std::swap(waiting, m_waiting);
    for (const sigc::slot<void(const std::optional<CachedLookup> &)> &it : waiting) {
        it(lookup);
    }
}

} // namespace Tarragon
