#pragma once

#include "base/Units.h"
#include "routing/Urgency.h"

#include <cstddef>
#include <map>
#include <utility>

namespace Tarragon {

/// What a maximum wait is computed from.
struct WaitLimitQuery
{
    Urgency urgency;
    /// Maximum wait of the route if no other requests compete for the service.
    microseconds ownLimit{ 0 };
    /// Expected processing time of the route's requests; above 0.
    microseconds processingTime{ 0 };
};

/// Maximum wait of a request, and by how many kinds it is preceded.
struct WaitLimit
{
    microseconds limit{ 0 };
    /// Number of more urgent classes that compete for the service.
    std::size_t rank = 0;
};

/// Limits the expected waits with which requests of one service are placed, so that a less urgent
/// request is refused before a more urgent one.
///
/// The load: a service gets more requests than it can process, and its less urgent route has the
/// longer latency goal. With limits from latency goals alone, its requests keep the queues of the
/// targets longer than the more urgent route may wait. Each class of urgency of which requests have
/// come recently is therefore refused at a queue that is shorter, by a fixed factor, than that at
/// which the next more urgent class is refused. Waits are compared in units of processing times:
/// the same queue is a longer wait for a route whose requests take longer.
class WaitLimits
{
public:
    /// Records that a request has come, and returns its limit. The limit is the route's own if no
    /// more urgent request has come recently.
    WaitLimit limitFor(const WaitLimitQuery &query, MonotonicTime now);

private:
    /// Time for which a class counts after its last request; several times the interval between the
    /// requests of a class at an entry of a large deployment.
    static constexpr milliseconds Retention{ 2'000 };
    /// Ratio of the limits of successive classes.
    static constexpr double Step = 0.7;

    struct Class
    {
        /// Smallest ratio of own limit to processing time among the requests of this period.
        double queue = 0;
        MonotonicTime since;
        /// The same for the previous period, in force until the current one has ended.
        double previousQueue = 0;
        MonotonicTime lastRequestAt;
    };

    void record(const Urgency &urgency, double queue, MonotonicTime now);

    std::map<Urgency, Class> m_classes;
};

} // namespace Tarragon
