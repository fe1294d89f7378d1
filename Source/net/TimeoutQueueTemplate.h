#pragma once

// Definitions of the members of BasicTimeoutQueue, for the files that instantiate it.

#include "net/Guard.h"
#include "net/TimeoutQueue.h"

#include <algorithm>

namespace Tarragon {

template<TimerLoop Loop>
void BasicTimeoutQueue<Loop>::Member::start(BasicTimeoutQueue &queue)
{
    stop();
    m_queue = &queue;
    m_startedAt = queue.m_loop.now();
    m_deadline = m_startedAt + queue.m_duration;
    m_list = &queue.m_members;
    m_list->splice(m_list->end(), m_node);
    if (!queue.m_armedFor.has_value() || m_deadline < *queue.m_armedFor) {
        queue.arm(m_deadline);
    }
}

template<TimerLoop Loop>
void BasicTimeoutQueue<Loop>::Member::stop()
{
    if (m_queue != nullptr) {
        m_node.splice(m_node.begin(), *m_list, m_position);
        m_list = nullptr;
        m_queue = nullptr;
    }
}

template<TimerLoop Loop>
BasicTimeoutQueue<Loop>::~BasicTimeoutQueue()
{
    while (Member *const member = first()) {
        member->stop();
    }
}

template<TimerLoop Loop>
void BasicTimeoutQueue<Loop>::setDuration(milliseconds duration)
{
    if (duration == m_duration) {
        return;
    }
    m_duration = duration;
    for (Member *it : m_members) {
        it->m_list = &m_earlier;
    }
    m_earlier.splice(m_earlier.end(), m_members);
    for (Member *it : m_earlier) {
        it->m_deadline = std::max(it->m_deadline, it->m_startedAt + duration);
    }
    if (!std::is_sorted(m_earlier.begin(), m_earlier.end(), isEarlier)) {
        m_earlier.sort(isEarlier);
    }
    if (const Member *const member = first()) {
        arm(member->m_deadline);
    }
}

template<TimerLoop Loop>
typename BasicTimeoutQueue<Loop>::Member *BasicTimeoutQueue<Loop>::first() const
{
    if (m_members.empty() || m_earlier.empty()) {
        const std::list<Member *> &list = m_members.empty() ? m_earlier : m_members;
        return list.empty() ? nullptr : list.front();
    }
    return std::min(m_members.front(), m_earlier.front(), isEarlier);
}

template<TimerLoop Loop>
void BasicTimeoutQueue<Loop>::arm(MonotonicTime when)
{
    m_armedFor = when;
    m_timer =
            m_loop.schedule(std::max(when - m_loop.now(), microseconds(0)), [this] { onTimer(); });
}

template<TimerLoop Loop>
void BasicTimeoutQueue<Loop>::onTimer()
{
    const MonotonicTime now = m_loop.now();
    Member *member = first();
    for (std::size_t n = 0; member != nullptr && member->m_deadline <= now; ++n) {
        if (n == MaxTimeoutsAtOnce) {
            arm(now);
            return;
        }
        member->stop();
        // The callback may destroy the member or start it again.
        const sigc::slot<void()> expired = member->m_expired;
        guarded("timeout", [&expired] { expired(); });
        member = first();
    }
    m_armedFor.reset();
    if (member != nullptr) {
        arm(std::max(member->m_deadline, now + TimerGranularity));
    }
}

} // namespace Tarragon
