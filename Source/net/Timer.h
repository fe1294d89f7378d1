#pragma once

#include <memory>

namespace Tarragon {

/// A pending callback of an EventLoop. Destroying or resetting it cancels the callback.
class Timer
{
public:
    struct State;

    Timer();
    explicit Timer(std::unique_ptr<State> state);
    Timer(Timer &&other) noexcept;
    Timer &operator=(Timer &&other) noexcept;
    ~Timer();

    /// Cancels the callback.
    void reset();
    /// Whether the callback is still scheduled.
    bool isActive() const;

private:
    std::unique_ptr<State> m_state;
};

} // namespace Tarragon
