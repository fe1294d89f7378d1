#pragma once

#include "StandIns/caller/CallerOptions.h"
#include "StandIns/caller/CallerOutcome.h"
#include "StandIns/caller/LookupCache.h"

#include "base/Verdict.h"
#include "net/HttpClient.h"

#include <memory>
#include <string>

namespace Tarragon {

/// Request of a caller, with its attempts at several entries. A request that was not run is retried
/// under a new id. A request that may have run is retried under the same id, so that the entries
/// can report whether it ran.
class CallerRequest : public std::enable_shared_from_this<CallerRequest>
{
public:
    using Callback = sigc::slot<void(const CallerOutcome &)>;

    CallerRequest(EventLoop &loop, HttpClient &client, LookupCache &lookups,
                  const CallerOptions &options, std::string uniquePart, Callback callback);

    void start();

private:
    void attempt();
    void send(const CachedLookup &lookup);
    void onHead(const HttpResponseHead &head);
    void onData(std::string_view data);
    void onComplete();
    void onFailure(const HttpFailure &failure);
    void retry(const std::string &detail, milliseconds backoff);
    void finish(CallerResult result, const std::string &detail);
    bool isOwnWholeBody() const;

    EventLoop &m_loop;
    HttpClient &m_client;
    LookupCache &m_lookups;
    const CallerOptions &m_options;
    std::string m_uniquePart;
    Callback m_callback;
    CallerOutcome m_outcome;
    /// Number of the attempt under the current id, from 1.
    int m_attemptOfId = 0;
    /// Combined verdict on all attempts under the current id.
    Verdict m_verdict = Verdict::NotRun;
    bool m_hasEntryResponse = false;
    MonotonicTime m_started;
    HttpResponseHead m_head;
    std::string m_bodyStart;
    std::size_t m_bodyBytes = 0;
    HttpCallPtr m_call;
    Timer m_retryTimer;
    Timer m_readTimer;
};

} // namespace Tarragon
