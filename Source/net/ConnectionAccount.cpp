#include "net/ConnectionAccount.h"

namespace Tarragon {

ConnectionAccount::ConnectionAccount(MemoryBudget &budget, MonotonicTime now,
                                     sigc::slot<void()> evict)
    : m_budget(budget)
    , m_evict(std::move(evict))
    , m_lastProgress(now)
{
    m_budget.add(ConnectionBytes);
    m_budget.addConnection(*this, now);
}

ConnectionAccount::~ConnectionAccount()
{
    m_budget.removeConnection(*this);
    m_budget.remove(ConnectionBytes + m_bufferedBytes);
}

void ConnectionAccount::changeBuffered(std::size_t added, std::size_t removed)
{
    if (m_isEvicted) {
        return;
    }
    m_budget.add(added);
    m_budget.remove(removed);
    m_bufferedBytes += added;
    m_bufferedBytes -= removed;
}

void ConnectionAccount::clearBuffered()
{
    changeBuffered(0, m_bufferedBytes);
}

bool ConnectionAccount::admitsBody(std::size_t size, std::size_t growth, MonotonicTime now)
{
    m_newBytes += growth;
    if (m_bodyBytes == 0 || m_newBytes >= MemoryBudget::SmallBodyBytes) {
        m_newBytes = 0;
        m_lastProgress = now;
    }
    if (!m_budget.admitsBody(*this, size, growth, now)) {
        return false;
    }
    m_bodyBytes = size;
    return true;
}

bool ConnectionAccount::admitsHead(MonotonicTime now)
{
    return m_budget.admitsHead(*this, now);
}

SocketProgress ConnectionAccount::askSocket(MonotonicTime now)
{
    const SocketProgress progress = m_query.empty() ? SocketProgress() : m_query();
    if (progress.hasClientActed) {
        onProgress(now);
    }
    return progress;
}

void ConnectionAccount::evict()
{
    clearBuffered();
    m_isEvicted = true;
    const sigc::slot<void()> close = m_evict;
    close();
}

} // namespace Tarragon
