#include "StandIns/caller/LoadRun.h"

#include "base/Error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace Tarragon {

namespace {

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

} // namespace

LoadRun::LoadRun(EventLoop &loop, HttpClient &client, const CallerOptions &options,
                 const std::string &journalPath)
    : m_loop(loop)
    , m_client(client)
    , m_options(options)
    , m_lookups(loop, client, m_options)
{
    if (journalPath.empty()) {
        return;
    }
    m_journal = std::fopen(journalPath.c_str(), "ae");
    if (m_journal == nullptr) {
        throw Error("cannot open the journal file \"" + journalPath
                    + "\" for appending: " + std::strerror(errno));
    }
}

LoadRun::~LoadRun()
{
    if (m_journal != nullptr) {
        static_cast<void>(std::fclose(m_journal));
    }
}

void LoadRun::start()
{
    if (m_options.rate > 0) {
        const microseconds period(static_cast<std::int64_t>(1e6 / m_options.rate));
        startOne();
        m_timer = m_loop.scheduleEvery(period, [this] { startOne(); });
        return;
    }
    for (std::uint64_t i = 0; i < m_options.concurrency; ++i) {
        startOne();
    }
}

void LoadRun::startOne()
{
    if (m_started >= m_options.requests) {
        m_timer.reset();
        return;
    }
    const std::string unique = m_options.idPrefix + std::to_string(m_started++);
    const std::shared_ptr<CallerRequest> request = std::make_shared<CallerRequest>(
            m_loop, m_client, m_lookups, m_options, unique,
            [this](const CallerOutcome &outcome) { onOutcome(outcome); });
    request->start();
}

void LoadRun::onOutcome(const CallerOutcome &outcome)
{
    ++m_finished;
    ++m_counts[outcome.result];
    if (outcome.result == CallerResult::Whole) {
        m_latencies.push_back(outcome.milliseconds);
    }
    if (m_journal != nullptr) {
        const nlohmann::json line{ { "requestId", outcome.requestId },
                                   { "method", outcome.method },
                                   { "result", toString(outcome.result) },
                                   { "status", outcome.status },
                                   { "attempts", outcome.attempts },
                                   { "ms", outcome.milliseconds },
                                   { "detail", outcome.detail } };
        const std::string text =
                line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
        static_cast<void>(std::fwrite(text.data(), 1, text.size(), m_journal));
        static_cast<void>(std::fflush(m_journal));
    }
    if (m_finished == m_options.requests) {
        m_loop.stop();
        return;
    }
    if (m_options.rate <= 0) {
        startOne();
    }
}

std::string LoadRun::summary() const
{
    const auto count = [this](CallerResult result) {
        const std::map<CallerResult, std::uint64_t>::const_iterator it = m_counts.find(result);
        return it == m_counts.end() ? 0 : it->second;
    };
    const nlohmann::json json{ { "requests", m_finished },
                               { "whole", count(CallerResult::Whole) },
                               { "notRun", count(CallerResult::NotRun) },
                               { "uncertain", count(CallerResult::Uncertain) },
                               { "lost", count(CallerResult::Lost) },
                               { "p50Ms", percentile(m_latencies, 0.5) },
                               { "p99Ms", percentile(m_latencies, 0.99) } };
    return json.dump();
}

} // namespace Tarragon
