#pragma once

#include "base/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Tarragon {

enum class DrainPhase {
    Serving,
    /// Accepts no new work; work that has begun is completed.
    Leaving,
    /// Leaving, and no work is pending any more.
    Finished,
};

/// A piece of work whose end a drain waits for.
struct PendingWork
{
    /// Kind and name, such as "request 4711 at target cat-3".
    std::string description;
    MonotonicTime since;
};

/// The drain of an entry, a target, a failure domain or a region as one entry sees it. Leaving
/// cannot be undone; after an undrain a new DrainState begins.
class DrainState
{
public:
    /// Begins to leave. A further call can only make the deadline earlier.
    void leave(MonotonicTime now, MonotonicTime deadline);

    DrainPhase phase() const;
    bool acceptsNewWork() const { return !m_deadline.has_value(); }
    /// Whether the deadline has passed with work still pending.
    bool isOverdue(MonotonicTime now) const;
    std::optional<MonotonicTime> deadline() const { return m_deadline; }
    /// Returns the time since the first leave(); zero while serving.
    microseconds leavingFor(MonotonicTime now) const;

    /// Begins a piece of work. Returns nothing if no new work is accepted.
    std::optional<std::uint64_t> begin(const std::string &description, MonotonicTime now);
    /// Ends a piece of work; unknown numbers are ignored.
    void end(std::uint64_t work);
    /// Returns the pending work, oldest first.
    std::vector<PendingWork> pending() const;

private:
    std::map<std::uint64_t, PendingWork> m_pending;
    std::uint64_t m_next = 1;
    std::optional<MonotonicTime> m_deadline;
    MonotonicTime m_leavingSince;
};

} // namespace Tarragon
