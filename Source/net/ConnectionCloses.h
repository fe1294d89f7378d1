#pragma once

#include "base/Units.h"
#include "net/UnprocessedInput.h"

#include <event2/util.h>

#include <array>
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

/// All causes, in the order of their values.
constexpr std::array CloseCauses = { CloseCause::Response, CloseCause::Rejection,
                                     CloseCause::BreakOff, CloseCause::Idle,
                                     CloseCause::Eviction, CloseCause::ServerEnd };

std::string_view toString(CloseCause cause);

/// A connection of a client that a server has closed.
struct ClosedConnection
{
    CloseCause cause = CloseCause::Response;
    /// Time for which the connection had made no progress when the server ended it.
    microseconds idleTime{ 0 };
    /// The server's idle timeout at that time.
    milliseconds idleTimeout{ 0 };
};

/// Counts the connections of clients that a process closes, by their cause, and among them those
/// whose peer may not have received all of what was written, those with input that no handler got,
/// and those that were closed as idle before the idle timeout. Logs the latter three, in a bounded
/// number of lines.
class ConnectionCloses
{
public:
    struct Counts
    {
        std::uint64_t closes = 0;
        /// Closes with unacknowledged bytes.
        std::uint64_t unacknowledged = 0;
        /// Closes with input that no handler got, and those among them with a whole request head.
        std::uint64_t unprocessed = 0;
        std::uint64_t unprocessedRequests = 0;
        /// Closes of idle connections before the idle timeout in force.
        std::uint64_t early = 0;
        std::array<std::uint64_t, CloseCauses.size()> byCause{};
        /// Connections that have ended and are kept until their peers have read all, at present.
        std::uint64_t lingering = 0;
    };

    /// Returns the counts that the HttpServers of this process share.
    static ConnectionCloses &ofProcess();

    /// Sets the field by which requests are named in the log.
    void setRequestIdField(std::string name) { m_requestIdField = std::move(name); }
    /// Records that a server ends a connection of its own accord.
    void recordEnd(const ClosedConnection &closed, MonotonicTime now);
    /// Records the input of a closed connection that no handler got, if there is any.
    void recordUnprocessed(const ClosedConnection &closed, const UnprocessedInput &input,
                           MonotonicTime now);
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
    std::string m_requestIdField;
    MonotonicTime m_nextLogAt{};
    MonotonicTime m_nextEarlyLogAt{};
    /// Start of the period in which lines on unprocessed input are counted, and their number.
    MonotonicTime m_unprocessedSince{};
    int m_unprocessedLines = 0;
};

} // namespace Tarragon
