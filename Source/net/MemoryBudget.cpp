#include "net/MemoryBudget.h"

#include "net/ConnectionAccount.h"
#include "net/LogLine.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>

#include <sys/resource.h>

namespace Tarragon {

namespace {

constexpr std::uint64_t BytesPerMegabyte = 1'000'000;
/// Fraction of the machine's memory for requests. A gateway needs about 14 MB without requests; the
/// other 66 MB of the smallest machine are for buffers of targets and other entries, what the
/// allocator cannot reuse, and the system.
constexpr std::size_t CapacityDivisor = 2;
/// Fraction of the capacity that large bodies leave free: 5 MB on the smallest machine, 300
/// requests with small bodies.
constexpr std::size_t ReserveDivisor = 16;
/// Added to the largest body for its own head and for the connections of others.
constexpr std::size_t MinSpareBytes = 4'194'304;
/// Fraction of the descriptors for connections of clients; the others are for targets, the store
/// and other entries.
constexpr std::size_t ConnectionsNumerator = 3;
constexpr std::size_t ConnectionsDenominator = 4;
/// Retry-After when no connection can be closed to make room: requests in progress end meanwhile.
constexpr milliseconds DefaultRetryAfter{ 1'000 };
constexpr milliseconds MinRetryAfter{ 100 };
/// Time between two log lines about refusals.
constexpr seconds LogPeriod{ 1 };

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("net");
    return instance;
}

/// Maximum number of sockets that are asked in the search for a connection to close.
constexpr int MaxSocketsAsked = 16;

/// Returns the account that satisfies the condition and has been without progress for longest; null
/// if there is none.
template<typename Condition>
ConnectionAccount *longestWithoutProgress(const std::list<ConnectionAccount *> &accounts,
                                          const Condition &condition)
{
    ConnectionAccount *result = nullptr;
    for (ConnectionAccount *it : accounts) {
        if (condition(*it) && (result == nullptr || it->lastProgress() < result->lastProgress())) {
            result = it;
        }
    }
    return result;
}

} // namespace

MemoryBudget &MemoryBudget::ofProcess()
{
    static MemoryBudget instance;
    return instance;
}

MemoryBudget::MemoryBudget()
{
    configure(DefaultMemoryMegabytes, DefaultMaxDescriptors);
}

void MemoryBudget::configure(std::uint64_t memoryMegabytes, std::size_t maxDescriptors)
{
    static constexpr std::size_t MinCapacity =
            (LargestBodyBytes + MinSpareBytes) / (ReserveDivisor - 1) * ReserveDivisor;
    const std::size_t half = memoryMegabytes * BytesPerMegabyte / CapacityDivisor;
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        maxDescriptors = std::min<std::size_t>(maxDescriptors, limit.rlim_cur);
    }
    setLimits(std::max(half, MinCapacity),
              maxDescriptors * ConnectionsNumerator / ConnectionsDenominator);
}

void MemoryBudget::setLimits(std::size_t capacityBytes, std::size_t maxConnections)
{
    m_counts.capacityBytes = capacityBytes;
    m_counts.maxConnections = maxConnections;
    m_reserveBytes = capacityBytes / ReserveDivisor;
}

bool MemoryBudget::admitsBody(const ConnectionAccount &asking, std::size_t bodyBytes,
                              std::size_t growth, MonotonicTime now)
{
    const std::size_t reserve = bodyBytes <= SmallBodyBytes ? 0 : m_reserveBytes;
    return makeRoom(asking, growth, m_counts.capacityBytes - reserve, now);
}

bool MemoryBudget::admitsHead(const ConnectionAccount &asking, MonotonicTime now)
{
    return makeRoom(asking, 0, m_counts.capacityBytes, now);
}

bool MemoryBudget::makeRoom(const ConnectionAccount &asking, std::size_t growth, std::size_t limit,
                            MonotonicTime now)
{
    while (m_counts.heldBytes + growth > limit) {
        ConnectionAccount *stalled = findStalled(asking, now);
        if (stalled == nullptr) {
            ++m_counts.refusedRequests;
            log(now);
            return false;
        }
        ++m_counts.closedForMemory;
        log(now);
        stalled->evict();
    }
    return true;
}

ConnectionAccount *MemoryBudget::findStalled(const ConnectionAccount &asking,
                                             MonotonicTime now) const
{
    const auto isStalled = [&asking, now](const ConnectionAccount &it) {
        return &it != &asking && !it.isEvicted() && it.awaitsClient()
               && it.heldBytes() > SmallBodyBytes && now - it.lastProgress() >= StallTime;
    };
    for (int i = 0; i < MaxSocketsAsked; ++i) {
        ConnectionAccount *result = longestWithoutProgress(m_accounts, isStalled);
        // A client may have acted during a pause of this process.
        if (result == nullptr || !result->askSocket(now).hasClientActed) {
            return result;
        }
    }
    return nullptr;
}

ConnectionAccount &MemoryBudget::chooseForCount(ConnectionAccount &added, MonotonicTime now) const
{
    std::vector<const ConnectionAccount *> inUse;
    const auto isIdle = [&inUse, now](const ConnectionAccount &it) {
        return !it.isEvicted() && !it.isBusy() && it.lastProgress() < now
               && std::find(inUse.begin(), inUse.end(), &it) == inUse.end();
    };
    ConnectionAccount *first = nullptr;
    for (int i = 0; i < MaxSocketsAsked; ++i) {
        ConnectionAccount *result = longestWithoutProgress(m_accounts, isIdle);
        if (result == nullptr) {
            break;
        }
        const SocketProgress progress = result->askSocket(now);
        if (!progress.hasClientActed && progress.isAcknowledged) {
            return *result;
        }
        first = first == nullptr && !progress.hasClientActed ? result : first;
        inUse.push_back(result);
    }
    return first == nullptr ? added : *first;
}

milliseconds MemoryBudget::retryAfter(MonotonicTime now) const
{
    microseconds result = DefaultRetryAfter;
    for (const ConnectionAccount *it : m_accounts) {
        if (!it->isEvicted() && it->awaitsClient() && it->heldBytes() > SmallBodyBytes) {
            result = std::min<microseconds>(result, it->lastProgress() + StallTime - now);
        }
    }
    return std::max(std::chrono::ceil<milliseconds>(result), MinRetryAfter);
}

void MemoryBudget::addConnection(ConnectionAccount &account, MonotonicTime now)
{
    if (m_counts.connections >= m_counts.maxConnections) {
        ConnectionAccount &chosen = chooseForCount(account, now);
        ++m_counts.closedForCount;
        log(now);
        chosen.evict();
    }
    ++m_counts.connections;
    m_accounts.push_back(&account);
}

void MemoryBudget::removeConnection(ConnectionAccount &account)
{
    --m_counts.connections;
    m_accounts.remove(&account);
}

void MemoryBudget::log(MonotonicTime now)
{
    if (now < m_nextLogAt) {
        return;
    }
    m_nextLogAt = now + LogPeriod;
    LOG4CPLUS_WARN(logger(), LogLine("net", "memory-limit")
                                     .add("heldBytes", m_counts.heldBytes)
                                     .add("capacityBytes", m_counts.capacityBytes)
                                     .add("connections", m_counts.connections)
                                     .add("refused", m_counts.refusedRequests)
                                     .add("closedForMemory", m_counts.closedForMemory)
                                     .add("closedForCount", m_counts.closedForCount)
                                     .text());
}

} // namespace Tarragon
