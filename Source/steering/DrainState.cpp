#include "steering/DrainState.h"

#include <algorithm>

namespace Tarragon {

void DrainState::leave(MonotonicTime now, MonotonicTime deadline)
{
    if (!m_deadline) {
        m_leavingSince = now;
    }
    m_deadline = m_deadline ? std::min(*m_deadline, deadline) : deadline;
}

DrainPhase DrainState::phase() const
{
    if (!m_deadline) {
        return DrainPhase::Serving;
    }
    return m_pending.empty() ? DrainPhase::Finished : DrainPhase::Leaving;
}

bool DrainState::isOverdue(MonotonicTime now) const
{
    return phase() == DrainPhase::Leaving && now >= *m_deadline;
}

microseconds DrainState::leavingFor(MonotonicTime now) const
{
    return m_deadline ? now - m_leavingSince : microseconds(0);
}

std::optional<std::uint64_t> DrainState::begin(const std::string &description, MonotonicTime now)
{
    if (!acceptsNewWork()) {
        return std::nullopt;
    }
    const std::uint64_t work = m_next++;
    m_pending.emplace(work, PendingWork{ description, now });
    return work;
}

void DrainState::end(std::uint64_t work)
{
    m_pending.erase(work);
}

std::vector<PendingWork> DrainState::pending() const
{
    std::vector<PendingWork> list;
    for (const auto &[work, it] : m_pending) {
        list.push_back(it);
    }
    return list;
}

} // namespace Tarragon
