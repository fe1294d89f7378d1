#pragma once

#include "StandIns/caller/CallerOptions.h"
#include "StandIns/caller/CallerOutcome.h"
#include "StandIns/caller/CallerRequest.h"
#include "StandIns/caller/LookupCache.h"

#include <cstdio>
#include <map>
#include <string>
#include <vector>

namespace Tarragon {

/// Sends the requests described by the options, records each outcome as a JSON line, and summarizes
/// the outcomes.
class LoadRun
{
public:
    /// Appends outcomes to the journal file; with an empty path, nothing is recorded. Throws Error
    /// if the file cannot be opened.
    LoadRun(EventLoop &loop, HttpClient &client, const CallerOptions &options,
            const std::string &journalPath);
    ~LoadRun();
    LoadRun(const LoadRun &) = delete;
    LoadRun &operator=(const LoadRun &) = delete;

    /// Starts sending. Stops the event loop after the last outcome.
    void start();
    /// Returns, as JSON, the number of requests by result and the latency percentiles of those that
    /// got their complete response.
    std::string summary() const;

private:
    void startOne();
    void onOutcome(const CallerOutcome &outcome);

    EventLoop &m_loop;
    HttpClient &m_client;
    CallerOptions m_options;
    LookupCache m_lookups;
    std::FILE *m_journal = nullptr;
    std::uint64_t m_started = 0;
    std::uint64_t m_finished = 0;
    std::map<CallerResult, std::uint64_t> m_counts;
    std::vector<double> m_latencies;
    Timer m_timer;
};

} // namespace Tarragon
