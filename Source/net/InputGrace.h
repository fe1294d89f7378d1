#pragma once

#include "base/Units.h"

#include <optional>

namespace Tarragon {

/// Decides whether the end of a time limit on a peer waits for input that has arrived and has not
/// been processed. Timers that fire late run before such input is read.
class InputGrace
{
public:
    /// Maximum time to wait. The loop reads all input that waits within a few iterations; a peer
    /// that sends without end must not extend its time limit.
    static constexpr milliseconds MaxWait{ 100 };

    /// Whether to wait and to ask again in the next iteration of the loop.
    bool mustWait(bool hasInput, MonotonicTime now)
    {
        if (!hasInput) {
            return false;
        }
        if (!m_since.has_value()) {
            m_since = now;
        }
        return now - *m_since < MaxWait;
    }
    /// Prepares for the next time limit.
    void reset() { m_since.reset(); }

private:
    /// When input was found for the first time after the end of the time limit.
    std::optional<MonotonicTime> m_since;
};

} // namespace Tarragon
