#pragma once

#include "StandIns/target/Journal.h"

#include "net/EventLoop.h"
#include "net/HttpServer.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace Tarragon {

/// Behaviour of a target stand-in. POST /control changes any of the fields.
struct TargetBehaviour
{
    int slots = 4;
    milliseconds serviceTime{ 5 };
    /// Added to the service time of the first coldRequests requests after the start.
    milliseconds coldTime{ 0 };
    int coldRequests = 0;
    /// Age of the load that GET /load reports.
    milliseconds loadLag{ 0 };
    /// Refuses all new requests with 429 and fails health checks with 503.
    bool draining = false;
    /// Aborts the connection after this many bytes of a response body; negative: never.
    std::int64_t truncateAfter = -1;
    /// Accepts requests and never responds.
    bool hangs = false;
};

/// Target for tests. Runs requests in a fixed number of slots, refuses further requests with 429,
/// respects deadlines and cancellation, and records every request that it started.
///
/// Query parameters of a request: ms (service time in milliseconds), bytes (length of the response
/// body).
class TargetServer
{
public:
    TargetServer(EventLoop &loop, Journal &journal, std::string id, const std::string &address,
                 std::uint16_t port, const TargetBehaviour &behaviour);

    std::uint16_t port() const { return m_server->port(); }

private:
    struct Run;

    void handle(const HttpExchangePtr &exchange);
    void handleControl(const HttpExchangePtr &exchange);
    void reportLoad(const HttpExchangePtr &exchange);
    void start(const HttpExchangePtr &exchange);
    void answer(const std::shared_ptr<Run> &run);
    void pump(const std::shared_ptr<Run> &run);
    void end(const std::shared_ptr<Run> &run, JournalEvent event);
    void noteLoad();

    EventLoop &m_loop;
    Journal &m_journal;
    std::string m_id;
    TargetBehaviour m_behaviour;
    int m_running = 0;
    std::uint64_t m_started = 0;
    std::uint64_t m_nextRun = 0;
    std::map<std::uint64_t, std::shared_ptr<Run>> m_runs;
    std::deque<std::pair<MonotonicTime, int>> m_loadHistory;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Tarragon
