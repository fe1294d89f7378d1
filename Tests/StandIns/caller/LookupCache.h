#pragma once

#include "StandIns/caller/CallerOptions.h"

#include "net/HttpClient.h"

#include <optional>
#include <vector>

namespace Tarragon {

/// Lookup response as a caller caches it.
struct CachedLookup
{
    std::vector<EntryAddress> entries;
    std::string requestIdSeed;
    MonotonicTime expires;
};

/// Caches the last lookup response for its time to live, as real callers do.
class LookupCache
{
public:
    LookupCache(EventLoop &loop, HttpClient &client, const CallerOptions &options);

    /// Passes a valid lookup response to the callback, or nothing if no entry returned one.
    void find(sigc::slot<void(const std::optional<CachedLookup> &)> callback);
    /// Drops the cached response, so that the next find() sends a new lookup, to another entry
    /// first.
    void invalidate();

private:
    void sendLookup(std::size_t attempt);
    void finish(const std::optional<CachedLookup> &lookup);

    EventLoop &m_loop;
    HttpClient &m_client;
    const CallerOptions &m_options;
    std::vector<EntryAddress> m_entries;
    std::optional<CachedLookup> m_lookup;
    std::vector<sigc::slot<void(const std::optional<CachedLookup> &)>> m_waiting;
    std::size_t m_firstEntry = 0;
    HttpCallPtr m_call;
    Timer m_retryTimer;
};

} // namespace Tarragon
