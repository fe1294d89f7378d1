#pragma once

#include "StandIns/caller/CallerOptions.h"
#include "StandIns/caller/CallerOutcome.h"
#include "StandIns/caller/LookupCache.h"

#include "base/Verdict.h"
#include "net/HttpClient.h"

#include <memory>
#include <string>

namespace Tarragon {

/// One request of a caller with its attempts at several entries. A request that was not run is
/// sent again; one that may have run is sent again under the same id, so that the entries can tell
/// its fate.
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
    void retry(const std::string &detail, milliseconds pause);
    void finish(CallerResult result, const std::string &detail);
    bool isOwnWholeBody() const;

    EventLoop &m_loop;
    HttpClient &m_client;
    LookupCache &m_lookups;
    const CallerOptions &m_options;
    std::string m_uniquePart;
    Callback m_callback;
    CallerOutcome m_outcome;
    /// Number of the attempt under the present id, from 1.
    int m_attemptOfId = 0;
    /// What is known of all attempts under the present id.
    Verdict m_verdict = Verdict::NotRun;
    bool m_heardFromEntry = false;
    MonotonicTime m_started;
    HttpResponseHead m_head;
    std::string m_bodyStart;
    std::size_t m_bodyBytes = 0;
    HttpCallPtr m_call;
    Timer m_pause;
    Timer m_readPause;
};

} // namespace Tarragon
