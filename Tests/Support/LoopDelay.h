#pragma once

#include "net/EventLoop.h"

#include <event2/event.h>
#include <gtest/gtest.h>

#include <array>
#include <cstddef>
#include <cstdint>

#include <sys/eventfd.h>
#include <unistd.h>

namespace Tarragon {

/// Delays a loop, so that its timers fire late. After the delay more descriptors are ready than
/// libevent returns from its first poll, and those of the loop's other events come after them.
/// Timers therefore fire before input is read that has arrived during the delay. Delays a loop
/// once: afterwards libevent polls for more descriptors.
class LoopDelay
{
public:
    explicit LoopDelay(EventLoop &loop)
        : m_loop(loop)
    {
        for (std::size_t i = 0; i < Count; ++i) {
            m_descriptors[i] = eventfd(0, EFD_NONBLOCK);
            EXPECT_GE(m_descriptors[i], 0);
            m_events[i] = event_new(loop.base(), m_descriptors[i], EV_READ | EV_PERSIST, onReady,
                                    nullptr);
            EXPECT_EQ(event_add(m_events[i], nullptr), 0);
        }
        // Registers the descriptors with the system.
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    }
    ~LoopDelay()
    {
        for (std::size_t i = 0; i < Count; ++i) {
            event_free(m_events[i]);
            close(m_descriptors[i]);
        }
    }
    LoopDelay(const LoopDelay &) = delete;
    LoopDelay &operator=(const LoopDelay &) = delete;

    /// Blocks until the time, in the next iteration of the loop. The slot is called at the start of
    /// the delay; what it sends is read after it.
    void delayUntil(MonotonicTime end, const sigc::slot<void()> &begun)
    {
        m_loop.post([this, end, begun] {
            for (const int it : m_descriptors) {
                EXPECT_EQ(eventfd_write(it, 1), 0);
            }
            begun();
            while (m_loop.now() < end) {
            }
        });
    }

private:
    static constexpr std::size_t Count = 100;

    static void onReady(evutil_socket_t fd, short, void *)
    {
        eventfd_t n = 0;
        eventfd_read(fd, &n);
    }

    EventLoop &m_loop;
    std::array<int, Count> m_descriptors{};
    std::array<event *, Count> m_events{};
};

} // namespace Tarragon
