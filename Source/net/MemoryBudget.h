#pragma once

#include "base/Units.h"

#include <cstddef>
#include <cstdint>
#include <list>

namespace Tarragon {

class ConnectionAccount;

/// Counts since the start of the process, and current amounts.
struct MemoryBudgetCounts
{
    std::size_t heldBytes = 0;
    std::size_t capacityBytes = 0;
    std::size_t connections = 0;
    std::size_t maxConnections = 0;
    /// Requests that were refused because there was no room for them.
    std::uint64_t refusedRequests = 0;
    /// Connections that were closed in favour of other requests because they made no progress.
    std::uint64_t closedForMemory = 0;
    /// Connections that were closed because of the maximum number of connections.
    std::uint64_t closedForCount = 0;
};

/// Limits the memory that the requests of all clients of a process hold together, and the number of
/// their connections. All HttpServers of the process share it. When there is no room for a request,
/// connections that hold much and make no progress are closed; if that is not enough, the request
/// is refused. Decides only; connections carry out what it decides.
class MemoryBudget
{
public:
    /// Bodies up to this size use the reserve, so that large bodies do not displace them.
    static constexpr std::size_t SmallBodyBytes = 16'384;
    /// The largest request body that operators allow; there is always room for one.
    static constexpr std::size_t LargestBodyBytes = 67'108'864;
    /// Memory of the smallest machine, in megabytes; the default.
    static constexpr std::uint64_t DefaultMemoryMegabytes = 160;
    /// Descriptors of the smallest machine; the default.
    static constexpr std::size_t DefaultMaxDescriptors = 4'100;
    /// Time without progress after which a connection may be closed in favour of others. Progress
    /// is SmallBodyBytes of input or any output, so that an upload of 4 KiB/s is never closed; a
    /// round trip with two retransmissions takes less than 1 s.
    static constexpr seconds StallTime{ 4 };

    /// Returns the budget that the HttpServers of this process share.
    static MemoryBudget &ofProcess();

    MemoryBudget();
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    /// Derives the limits from the memory of the machine and its file descriptors. At most as many
    /// descriptors are assumed as the system grants to the process.
    void configure(std::uint64_t memoryMegabytes, std::size_t maxDescriptors);
    /// Sets the limits directly, for tests.
    void setLimits(std::size_t capacityBytes, std::size_t maxConnections);

    void add(std::size_t bytes) { m_counts.heldBytes += bytes; }
    void remove(std::size_t bytes) { m_counts.heldBytes -= bytes; }
    /// Whether a body may grow to the given size by the given number of bytes. Closes stalled
    /// connections other than the asking one if there is no room. A false result counts as a
    /// refused request.
    bool admitsBody(const ConnectionAccount &asking, std::size_t bodyBytes, std::size_t growth,
                    MonotonicTime now);
    /// Whether a request without its body may be accepted.
    bool admitsHead(const ConnectionAccount &asking, MonotonicTime now);
    /// Returns the time after which a stalled connection can be closed to make room.
    milliseconds retryAfter(MonotonicTime now) const;
    const MemoryBudgetCounts &counts() const { return m_counts; }

    void addConnection(ConnectionAccount &account, MonotonicTime now);
    void removeConnection(ConnectionAccount &account);

private:
    bool makeRoom(const ConnectionAccount &asking, std::size_t growth, std::size_t limit,
                  MonotonicTime now);
    /// Returns the connection whose client has made no progress for longest although it is awaited,
    /// and that holds more than a small body; null if none is stalled.
    ConnectionAccount *findStalled(const ConnectionAccount &asking, MonotonicTime now) const;
    /// Returns the connection to close in favour of a new one; the new one if there is no other.
    ConnectionAccount &chooseForCount(ConnectionAccount &added, MonotonicTime now) const;
    /// Logs what was refused and closed, at most once in a period.
    void log(MonotonicTime now);

    MemoryBudgetCounts m_counts;
    /// Part of the capacity that only heads and small bodies may use.
    std::size_t m_reserveBytes = 0;
    std::list<ConnectionAccount *> m_accounts;
    MonotonicTime m_nextLogAt{};
};

} // namespace Tarragon
