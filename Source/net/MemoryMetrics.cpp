#include "net/MemoryMetrics.h"

#include "net/MetricText.h"

namespace Tarragon {

std::string memoryMetricsText(const std::string &prefix, const MemoryBudgetCounts &counts)
{
    return metricText(prefix + "_request_memory_bytes", "gauge",
                      "Memory that requests of clients hold", counts.heldBytes)
           + metricText(prefix + "_request_memory_limit_bytes", "gauge",
                        "Memory that requests of clients may hold", counts.capacityBytes)
           + metricText(prefix + "_client_connections", "gauge", "Connections of clients",
                        counts.connections)
           + metricText(prefix + "_client_connections_limit", "gauge",
                        "Maximum number of connections of clients", counts.maxConnections)
           + metricText(prefix + "_memory_refusals_total", "counter",
                        "Requests refused for lack of memory", counts.refusedRequests)
           + metricText(prefix + "_memory_closes_total", "counter",
                        "Stalled connections closed to free memory", counts.closedForMemory)
           + metricText(prefix + "_connection_closes_total", "counter",
                        "Connections closed because of their maximum number",
                        counts.closedForCount);
}

} // namespace Tarragon
