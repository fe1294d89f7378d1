#include "net/ConnectionCloses.h"

#include "net/LogLine.h"
#include "net/MetricText.h"
#include "net/SocketQueues.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace Tarragon {

namespace {

constexpr seconds LogPeriod{ 1 };

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("net");
    return instance;
}

} // namespace

std::string_view toString(CloseCause cause)
{
    switch (cause) {
    case CloseCause::Response:
        return "response";
    case CloseCause::Rejection:
        return "rejection";
    case CloseCause::BreakOff:
        return "break-off";
    case CloseCause::Idle:
        return "idle";
    case CloseCause::Eviction:
        return "eviction";
    case CloseCause::ServerEnd:
        return "server-end";
    }
    return "";
}

ConnectionCloses &ConnectionCloses::ofProcess()
{
    static ConnectionCloses instance;
    return instance;
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
    return metricText(prefix + "_closes_total", "counter",
                      "Connections of clients that this process closed", m_counts.closes)
           + metricText(prefix + "_unacknowledged_closes_total", "counter",
                        "Closes of connections whose client may not have received all responses",
                        m_counts.unacknowledged)
           + metricText(prefix + "_lingering", "gauge",
                        "Connections of clients that ended and may not have been read",
                        m_counts.lingering);
}

} // namespace Tarragon
