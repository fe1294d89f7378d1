#pragma once

#include "base/Units.h"

#include <event2/util.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Tarragon {

/// Why a server closed a connection for good.
enum class CloseCause {
    /// The last response was written.
    Response,
    /// An error response was written to a request that was not accepted.
    Rejection,
    /// A response broke off.
    BreakOff,
    /// The connection was idle.
    Idle,
    /// The memory or the descriptor was needed for others.
    Eviction,
    /// The server ended, usually with the process.
    ServerEnd,
};

std::string_view toString(CloseCause cause);

/// Counts the connections of clients that a process closes, and those among them whose peer may not
/// have received all of what was written. Logs the latter, at most one line a second.
class ConnectionCloses
{
public:
    struct Counts
    {
        std::uint64_t closes = 0;
        /// Closes with unacknowledged bytes.
        std::uint64_t unacknowledged = 0;
        /// Connections that have ended and are kept until their peers have read all, at present.
        std::uint64_t lingering = 0;
    };

    /// Returns the counts that the HttpServers of this process share.
    static ConnectionCloses &ofProcess();

    /// Records that a socket is about to be closed, unless its peer has finished.
    void recordSocket(evutil_socket_t fd, CloseCause cause, MonotonicTime now);
    /// Records a close. Sizes are empty if the system does not tell.
    void record(CloseCause cause, std::optional<std::size_t> unacknowledgedBytes,
                std::optional<std::size_t> unreadBytes, MonotonicTime now);
    void addLingering() { ++m_counts.lingering; }
    void removeLingering() { --m_counts.lingering; }
    const Counts &counts() const { return m_counts; }
    /// Returns the counts as metrics in the text format of Prometheus. The names start with the
    /// prefix.
    std::string metricsText(const std::string &prefix) const;

private:
    Counts m_counts;
    MonotonicTime m_nextLogAt{};
};

} // namespace Tarragon
