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

void ConnectionAccount::evict()
{
    m_isEvicted = true;
    const sigc::slot<void()> close = m_evict;
    close();
}

} // namespace Tarragon
