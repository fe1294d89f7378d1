#pragma once

#include "base/Units.h"
#include "net/CloseCause.h"
#include "net/UnprocessedInput.h"

#include <event2/util.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace Tarragon {

/// A connection of a client that a server has closed.
struct ClosedConnection
{
    CloseCause cause = CloseCause::Response;
    /// Time for which the connection had made no progress when the server ended it.
    microseconds idleTime{ 0 };
    /// The server's idle timeout at that time.
    milliseconds idleTimeout{ 0 };
};

/// Counts the connections of clients that have ended, by their cause, and among them those whose
/// peer may not have received all of what was written, those with input that no handler got, and
/// those that were closed as idle before the idle timeout. Logs the latter three, in a bounded
/// number of lines, and requests that ended without an answer and have no other line.
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
    const std::string &requestIdField() const { return m_requestIdField; }
    /// Records that a connection has ended.
    void recordEnd(const ClosedConnection &closed, MonotonicTime now);
    /// Records the input of a closed connection that no handler got, if there is any.
    void recordUnprocessed(const ClosedConnection &closed, const UnprocessedInput &input,
                           MonotonicTime now);
    /// Logs that a request was answered by its handler, but the response was not written.
    static void logUnsent(CloseCause cause, const std::string &request, int status);
    /// Logs that the handler of a request has thrown an exception before it followed the request.
    static void logHandlerFailure(const std::string &request, std::string_view reason);
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
