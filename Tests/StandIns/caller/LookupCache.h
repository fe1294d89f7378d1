#pragma once

#include "StandIns/caller/CallerOptions.h"

#include "net/HttpClient.h"

#include <optional>
#include <vector>

namespace Tarragon {

/// Answer of a lookup as a caller keeps it.
struct CachedLookup
{
    std::vector<EntryAddress> entries;
    std::string requestIdSeed;
    MonotonicTime expires;
};

/// Keeps the answer of the last lookup for its time to live, as the callers of the users do.
class LookupCache
{
public:
    LookupCache(EventLoop &loop, HttpClient &client, const CallerOptions &options);

    /// Calls back with a valid answer, or with nothing if no entry gives one.
    void find(sigc::slot<void(const std::optional<CachedLookup> &)> callback);
    /// Drops the kept answer, so that the next find() asks again.
    void invalidate();

private:
    void ask(std::size_t attempt);
    void finish(const std::optional<CachedLookup> &lookup);

    EventLoop &m_loop;
    HttpClient &m_client;
    const CallerOptions &m_options;
    std::vector<EntryAddress> m_known;
    std::optional<CachedLookup> m_lookup;
    std::vector<sigc::slot<void(const std::optional<CachedLookup> &)>> m_waiting;
    std::size_t m_firstEntry = 0;
    HttpCallPtr m_call;
    Timer m_pause;
};

} // namespace Tarragon
