#include "net/ConnectionCloses.h"

#include "net/LogLine.h"
#include "net/MetricText.h"
#include "net/SocketQueues.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace Tarragon {

namespace {

constexpr seconds LogPeriod{ 1 };
/// Maximum number of lines on unprocessed input in a period. Each names a request, so that more
/// than one is wanted.
constexpr int MaxUnprocessedLines = 20;

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("net");
    return instance;
}

} // namespace

ConnectionCloses &ConnectionCloses::ofProcess()
{
    static ConnectionCloses instance;
    return instance;
}

void ConnectionCloses::recordEnd(const ClosedConnection &closed, MonotonicTime now)
{
    ++m_counts.byCause[std::size_t(closed.cause)];
    if (closed.cause != CloseCause::Idle || closed.idleTime >= closed.idleTimeout) {
        return;
    }
    ++m_counts.early;
    if (now < m_nextEarlyLogAt) {
        return;
    }
    m_nextEarlyLogAt = now + LogPeriod;
    LOG4CPLUS_WARN(logger(), LogLine("net", "closed-early")
                                     .add("idleMs", closed.idleTime)
                                     .add("limitMs", closed.idleTimeout)
                                     .add("earlyCloses", m_counts.early)
                                     .text());
}

void ConnectionCloses::recordUnprocessed(const ClosedConnection &closed,
                                         const UnprocessedInput &input, MonotonicTime now)
{
    // Callers may give up a request that they have not sent whole.
    const bool isExpected = closed.cause == CloseCause::CallerGone && !input.hasWholeHead();
    if (input.size() == 0 || isExpected) {
        return;
    }
    ++m_counts.unprocessed;
    m_counts.unprocessedRequests += input.hasWholeHead() ? 1 : 0;
    if (now - m_unprocessedSince >= LogPeriod) {
        m_unprocessedSince = now;
        m_unprocessedLines = 0;
    }
    if (++m_unprocessedLines > MaxUnprocessedLines) {
        return;
    }
    LogLine line("net", "input-unprocessed");
    line.add("cause", toString(closed.cause))
            .add("idleMs", closed.idleTime)
            .add("limitMs", closed.idleTimeout)
            .add("bytes", input.size())
            .add("wholeHead", input.hasWholeHead());
    const std::string id = input.headerValue(m_requestIdField);
    if (!id.empty()) {
        line.add("request", id);
    }
    line.add("closes", m_counts.unprocessed);
    LOG4CPLUS_WARN(logger(), line.text());
}

void ConnectionCloses::logUnsent(CloseCause cause, const std::string &request, int status)
{
    LOG4CPLUS_WARN(logger(), LogLine("net", "response-unsent")
                                     .add("cause", toString(cause))
                                     .add("request", request)
                                     .add("status", status)
                                     .text());
}

void ConnectionCloses::logHandlerFailure(const std::string &request, std::string_view reason)
{
    LOG4CPLUS_ERROR(logger(), LogLine("net", "request-failed")
                                      .add("cause", toString(CloseCause::HandlerFailed))
                                      .add("request", request)
                                      .add("reason", reason)
                                      .text());
}

void ConnectionCloses::recordSocket(evutil_socket_t fd, CloseCause cause, MonotonicTime now)
{
    if (!hasPeerFinished(fd)) {
        record(cause, unacknowledgedBytes(fd), unreadBytes(fd), now);
    }
}

void ConnectionCloses::record(CloseCause cause, std::optional<std::size_t> unacknowledgedBytes,
                              std::optional<std::size_t> unreadBytes, MonotonicTime now)
{
    ++m_counts.closes;
    if (unacknowledgedBytes.value_or(0) == 0) {
        return;
    }
    ++m_counts.unacknowledged;
    if (now < m_nextLogAt) {
        return;
    }
    m_nextLogAt = now + LogPeriod;
    LOG4CPLUS_WARN(logger(), LogLine("net", "closed-unacknowledged")
                                     .add("cause", toString(cause))
                                     .add("unacknowledgedBytes", *unacknowledgedBytes)
                                     .add("unreadBytes", unreadBytes.value_or(0))
                                     .add("closes", m_counts.closes)
                                     .add("unacknowledgedCloses", m_counts.unacknowledged)
                                     .text());
}

std::string ConnectionCloses::metricsText(const std::string &prefix) const
{
    std::string byCause;
    for (const CloseCause it : CloseCauses) {
        byCause += prefix + "_ends_total{cause=\"" + std::string(toString(it)) + "\"} "
                   + std::to_string(m_counts.byCause[std::size_t(it)]) + "\n";
    }
    return "# HELP " + prefix + "_ends_total Connections of clients that have ended\n" + "# TYPE "
           + prefix + "_ends_total counter\n" + byCause
           + metricText(prefix + "_early_closes_total", "counter",
                        "Idle connections closed before the idle timeout in force", m_counts.early)
           + metricText(prefix + "_unprocessed_closes_total", "counter",
                        "Closes of connections with input that was not processed",
                        m_counts.unprocessed)
           + metricText(prefix + "_unprocessed_requests_total", "counter",
                        "Closes of connections whose unprocessed input has a whole request head",
                        m_counts.unprocessedRequests)
           + metricText(prefix + "_closes_total", "counter",
                        "Connections of clients that this process closed", m_counts.closes)
           + metricText(prefix + "_unacknowledged_closes_total", "counter",
                        "Closes of connections whose client may not have received all responses",
                        m_counts.unacknowledged)
           + metricText(prefix + "_lingering", "gauge",
                        "Connections of clients that ended and may not have been read",
                        m_counts.lingering);
}

} // namespace Tarragon
