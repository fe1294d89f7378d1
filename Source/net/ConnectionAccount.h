#pragma once

#include "net/MemoryBudget.h"

#include <sigc++/sigc++.h>

#include <cstddef>
#include <utility>

namespace Tarragon {

/// What a connection's socket shows, which may be ahead of what was processed.
struct SocketProgress
{
    /// Whether input waits to be read, or a response that the client had not read can go on.
    bool hasClientActed = false;
    /// Whether the client's system has acknowledged all that was written.
    bool isAcknowledged = true;
};

/// What one connection of a client holds of a MemoryBudget.
class ConnectionAccount
{
public:
    /// Memory of a connection without any request: objects of evhttp and of this package.
    static constexpr std::size_t ConnectionBytes = 8'192;

    /// The slot closes the connection; it may do so later.
    ConnectionAccount(MemoryBudget &budget, MonotonicTime now, sigc::slot<void()> evict);
    ~ConnectionAccount();
    ConnectionAccount(const ConnectionAccount &) = delete;
    ConnectionAccount &operator=(const ConnectionAccount &) = delete;

    /// Records bytes added to and removed from the connection's buffers.
    void changeBuffered(std::size_t added, std::size_t removed);
    /// Records that the client has sent part of a request's head or read part of a response.
    void onProgress(MonotonicTime now) { m_lastProgress = now; }
    /// Whether a body being received may grow to the given size.
    bool admitsBody(std::size_t size, std::size_t growth, MonotonicTime now);
    /// Whether a request may be accepted.
    bool admitsHead(MonotonicTime now);
    /// The body being received was passed on or dropped.
    void clearBody() { m_bodyBytes = 0; }
    /// The connection's buffers were released.
    void clearBuffered();
    /// Replaces the slot that closes the connection.
    void setEvict(sigc::slot<void()> evict) { m_evict = std::move(evict); }
    /// Sets the slot that asks the socket; without one, the client counts as not acting.
    void setProgressQuery(sigc::slot<SocketProgress()> query) { m_query = std::move(query); }
    /// Sets whether a request of the connection is in progress.
    void setBusy(bool isBusy) { m_isBusy = isBusy; }

    /// Sets whether bytes of a response wait for the client to read.
    void setWriting(bool isWriting) { m_isWriting = isWriting; }

    bool isBusy() const { return m_isBusy; }
    /// Whether the client must send or read something before anything changes. Otherwise it waits
    /// for a response, and what it holds is released when the response arrives.
    bool awaitsClient() const { return !m_isBusy || m_isWriting; }
    bool isEvicted() const { return m_isEvicted; }
    std::size_t heldBytes() const { return m_bufferedBytes + m_bodyBytes; }
    MonotonicTime lastProgress() const { return m_lastProgress; }
    /// Asks the socket. Records progress if the client has acted.
    SocketProgress askSocket(MonotonicTime now);
    /// Closes the connection. What it holds is released at once for the budget.
    void evict();
    MemoryBudget &budget() const { return m_budget; }

private:
    MemoryBudget &m_budget;
    sigc::slot<void()> m_evict;
    sigc::slot<SocketProgress()> m_query;
    std::size_t m_bufferedBytes = 0;
    std::size_t m_bodyBytes = 0;
    /// Input since the last progress.
    std::size_t m_newBytes = 0;
    MonotonicTime m_lastProgress;
    bool m_isBusy = false;
    bool m_isWriting = false;
    bool m_isEvicted = false;
};

} // namespace Tarragon
