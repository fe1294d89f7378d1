#include "net/MemoryMetrics.h"

#include <string_view>

namespace Tarragon {

namespace {

std::string metric(const std::string &name, std::string_view type, std::string_view help,
                   std::uint64_t value)
{
    std::string text = "# HELP " + name + " ";
    text.append(help).append("\n# TYPE ").append(name).append(" ").append(type);
    return text + "\n" + name + " " + std::to_string(value) + "\n";
}

} // namespace

std::string memoryMetricsText(const std::string &prefix, const MemoryBudgetCounts &counts)
{
    return metric(prefix + "_request_memory_bytes", "gauge", "Memory that requests of clients hold",
                  counts.heldBytes)
           + metric(prefix + "_request_memory_limit_bytes", "gauge",
                    "Memory that requests of clients may hold", counts.capacityBytes)
           + metric(prefix + "_client_connections", "gauge", "Connections of clients",
                    counts.connections)
           + metric(prefix + "_client_connections_limit", "gauge",
                    "Maximum number of connections of clients", counts.maxConnections)
           + metric(prefix + "_memory_refusals_total", "counter",
                    "Requests refused for lack of memory", counts.refusedRequests)
           + metric(prefix + "_memory_closes_total", "counter",
                    "Stalled connections closed to free memory", counts.closedForMemory)
           + metric(prefix + "_connection_closes_total", "counter",
                    "Connections closed because of their maximum number", counts.closedForCount);
}

} // namespace Tarragon
