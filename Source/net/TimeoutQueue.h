#pragma once

#include "net/EventLoop.h"
#include "net/TimerLoop.h"

#include <sigc++/sigc++.h>

#include <cstddef>
#include <list>
#include <optional>

namespace Tarragon {

/// Members that all time out after the same duration, which may change at any moment. One timer
/// serves all of them, and starting a member costs no allocation. Members time out in a bounded
/// number for each iteration of the loop.
template<TimerLoop Loop>
class BasicTimeoutQueue
{
public:
    /// Maximum number of members that time out in one iteration of the loop.
    static constexpr std::size_t MaxTimeoutsAtOnce = 64;

    /// A member of at most one queue. The slot is called once when its time has passed.
    class Member
    {
    public:
        explicit Member(sigc::slot<void()> expired)
            : m_expired(std::move(expired))
            , m_node(1, this)
        {}
        ~Member() { stop(); }
        Member(const Member &) = delete;
        Member &operator=(const Member &) = delete;

        /// Starts the member's time, from now. It leaves the queue that it was in.
        void start(BasicTimeoutQueue &queue);
        /// Leaves the queue.
        void stop();
        bool isRunning() const { return m_queue != nullptr; }

    private:
        friend class BasicTimeoutQueue;

        sigc::slot<void()> m_expired;
        BasicTimeoutQueue *m_queue = nullptr;
        /// The list that contains the member; null if it is m_node.
        std::list<Member *> *m_list = nullptr;
        /// The member's list element, while the member is not in a queue.
        std::list<Member *> m_node;
        typename std::list<Member *>::iterator m_position = m_node.begin();
        MonotonicTime m_startedAt{};
        MonotonicTime m_deadline{};
    };

    BasicTimeoutQueue(Loop &loop, milliseconds duration)
        : m_loop(loop)
        , m_duration(duration)
    {}
    ~BasicTimeoutQueue();
    BasicTimeoutQueue(const BasicTimeoutQueue &) = delete;
    BasicTimeoutQueue &operator=(const BasicTimeoutQueue &) = delete;

    /// Changes the duration. A longer one extends the time of members that are running; a shorter
    /// one does not end it earlier, because their peers may go by the one before.
    void setDuration(milliseconds duration);
    milliseconds duration() const { return m_duration; }
    std::size_t size() const { return m_members.size() + m_earlier.size(); }

private:
    /// Minimum time between two timeouts, so that many members with different deadlines do not
    /// cause an iteration of the loop each.
    static constexpr milliseconds TimerGranularity{ 10 };

    static bool isEarlier(const Member *a, const Member *b)
    {
        return a->m_deadline < b->m_deadline;
    }
    /// Returns the member with the earliest deadline; null if there is none.
    Member *first() const;
    void arm(MonotonicTime when);
    void onTimer();

    Loop &m_loop;
    milliseconds m_duration;
    /// Members that were started since the last change of the duration, and those that were started
    /// before, each in the order of their deadlines.
    std::list<Member *> m_members;
    std::list<Member *> m_earlier;
    TimerOf<Loop> m_timer;
    /// Time for which the timer is set; nothing if it is not.
    std::optional<MonotonicTime> m_armedFor;
};

using TimeoutQueue = BasicTimeoutQueue<EventLoop>;

} // namespace Tarragon
