#include "StandIns/caller/LookupCache.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Tarragon {

namespace {

constexpr milliseconds LookupTimeout{ 1'000 };
constexpr ByteCount MaxLookupBytes{ 64 * 1024 };
constexpr milliseconds PauseBetweenRounds{ 100 };
/// Rounds over all known entries before a lookup fails.
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
    , m_known(options.entries)
{}

void LookupCache::find(sigc::slot<void(const std::optional<CachedLookup> &)> callback)
{
    if (m_lookup.has_value() && m_loop.now() < m_lookup->expires) {
        callback(m_lookup);
        return;
    }
    m_waiting.push_back(std::move(callback));
    if (m_waiting.size() == 1) {
        ask(0);
    }
}

void LookupCache::invalidate()
{
    m_lookup.reset();
    // Another entry is asked next, in case the last one was wrong about the others.
    ++m_firstEntry;
}

void LookupCache::ask(std::size_t attempt)
{
    if (attempt >= m_known.size() * LookupRounds) {
        finish(std::nullopt);
        return;
    }
    const EntryAddress &entry = m_known[(m_firstEntry + attempt) % m_known.size()];
    HttpRequest request;
    request.address = entry.address;
    request.port = entry.port;
    request.uri = "/v1/lookup?service=" + m_options.service + "&caller=" + m_options.callerAddress;
    request.timeout = LookupTimeout;
    const auto askNext = [this, attempt] {
        const bool roundEnds = (attempt + 1) % m_known.size() == 0;
        m_pause = m_loop.schedule(roundEnds ? PauseBetweenRounds : milliseconds(0),
                                  [this, attempt] { ask(attempt + 1); });
    };
    m_call = m_client.fetch(
            request, MaxLookupBytes,
            [this, askNext](const HttpResponse &response) {
                const std::optional<CachedLookup> lookup =
                        response.head.status == 200 ? parseLookup(response.body, m_loop.now())
                                                    : std::nullopt;
                if (!lookup.has_value()) {
                    askNext();
                    return;
                }
                finish(lookup);
            },
            [askNext](const HttpFailure &) { askNext(); });
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
