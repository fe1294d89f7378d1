#pragma once

#include "base/Units.h"
#include "model/VirtualSchedule.h"

#include <sigc++/sigc++.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>

namespace Tarragon {

/// Event loop of one simulated process in virtual time. Destroying it cancels all of its callbacks.
class VirtualLoop
{
public:
    /// A pending callback. Destroying or resetting it cancels the callback.
    class Timer
    {
    public:
        Timer() = default;
        explicit Timer(std::shared_ptr<bool> active)
            : m_active(std::move(active))
        {}
        Timer(Timer &&other) noexcept = default;
        Timer &operator=(Timer &&other) noexcept
        {
            reset();
            m_active = std::move(other.m_active);
            return *this;
        }
        ~Timer() { reset(); }

        void reset()
        {
            if (m_active != nullptr) {
                *m_active = false;
                m_active.reset();
            }
        }
        bool isActive() const { return m_active != nullptr && *m_active; }

    private:
        std::shared_ptr<bool> m_active;
    };

    explicit VirtualLoop(VirtualSchedule &schedule)
        : m_schedule(schedule)
    {}

    /// Time at the start of a simulation; above 0, because times of 0 mean "never" to some classes.
    static constexpr MonotonicTime Origin{ seconds(1'000) };

    MonotonicTime now() const { return Origin + m_schedule.now(); }
    Timer schedule(microseconds delay, const sigc::slot<void()> &callback)
    {
        std::shared_ptr<bool> active = std::make_shared<bool>(true);
        run(delay, [active, callback] {
            if (std::exchange(*active, false)) {
                callback();
            }
        });
        return Timer(std::move(active));
    }
    Timer scheduleEvery(microseconds period, const sigc::slot<void()> &callback)
    {
        std::shared_ptr<bool> active = std::make_shared<bool>(true);
        repeat(period, active, callback);
        return Timer(std::move(active));
    }
    /// Runs an action of the process after the delay, later if the process is paused then, and
    /// never once it has ended.
    void run(microseconds delay, const std::function<void()> &action)
    {
        m_schedule.after(delay, [this, weak = std::weak_ptr<bool>(m_alive), action] {
            if (weak.expired()) {
                return;
            }
            if (isPaused()) {
                run(m_pausedUntil - m_schedule.now(), action);
                return;
            }
            action();
        });
    }
    /// Suspends the process: whatever reaches it waits.
    void pause(microseconds duration)
    {
        m_pausedUntil = std::max(m_pausedUntil, m_schedule.now() + duration);
    }
    /// Expires when the process ends.
    std::weak_ptr<bool> lifetime() const { return m_alive; }
    bool isPaused() const { return m_schedule.now() < m_pausedUntil; }

private:
    void repeat(microseconds period, const std::shared_ptr<bool> &active,
                const sigc::slot<void()> &callback)
    {
        run(period, [this, period, active, callback] {
            if (*active) {
                repeat(period, active, callback);
                callback();
            }
        });
    }

    VirtualSchedule &m_schedule;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    microseconds m_pausedUntil{ 0 };
};

} // namespace Tarragon
