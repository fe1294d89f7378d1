#pragma once

#include "base/Units.h"
#include "document/ServiceConfiguration.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace Tarragon {

/// Number of a request that waits for a slot, assigned by the user of AdmissionControl.
using TicketNumber = std::uint64_t;

/// A request that was removed from the queue without having got a slot.
struct RefusedTicket
{
    TicketNumber ticket = 0;
    /// Time after which a new attempt is likely to be admitted.
    milliseconds retryAfter{ 0 };
};

/// Result of AdmissionControl::enqueue().
struct AdmissionResult
{
    /// Whether the request was queued; otherwise it is refused.
    bool queued = false;
    /// Set if refused.
    milliseconds retryAfter{ 0 };
    /// Queued requests of a lower class that were removed in favour of this one; they must be
    /// refused with NotRun.
    std::vector<RefusedTicket> displaced;
};

/// Bounded queue of the requests of one service that wait for a slot at this entry. Serves bookings
/// first, then lookups, then bulk requests. Refuses a request early if it would probably wait past
/// its deadline. Under overload, bulk requests are shed first and bookings last.
class AdmissionControl
{
public:
    /// Sets the number of slots that serve the queue and the number of requests that may wait.
    void setCapacity(int slots, int queueBound);

    /// Whether a new request of the class has to queue even if a slot is free, because requests of
    /// its class or a higher one are waiting.
    bool mustQueue(RequestClass requestClass) const;
    /// Queues a request that got no slot. Refuses it at once if the queue bound of its class is
    /// reached or if it would probably wait past its deadline.
    AdmissionResult enqueue(TicketNumber ticket, RequestClass requestClass, MonotonicTime deadline,
                            MonotonicTime now);
    /// Removes and returns the request to be served next; nothing if none waits. Requests past
    /// their deadline are skipped; takeExpired() returns them.
    std::optional<TicketNumber> next(MonotonicTime now);
    /// Puts a request that next() returned back at the front, after it found no slot.
    void putBack(TicketNumber ticket, RequestClass requestClass, MonotonicTime deadline);
    /// Removes a request whose caller has closed the connection. Returns false if the request is
    /// not in the queue.
    bool cancel(TicketNumber ticket);
    /// Removes and returns the requests whose deadline has passed while they waited.
    std::vector<RefusedTicket> takeExpired(MonotonicTime now);

    /// Adds the time for which a request held its slot to the smoothed service time.
    void onServed(microseconds serviceTime);

    int waiting() const;
    int waiting(RequestClass requestClass) const;
    /// Returns the expected wait of a new request of the class.
    microseconds expectedWait(RequestClass requestClass) const;
    /// Returns the Retry-After time for a request that is refused now.
    milliseconds retryAfter() const;

    /// Bounds of Retry-After. The minimum keeps callers from retrying too fast, the maximum keeps a
    /// wrong estimate from blocking them for too long.
    static constexpr milliseconds MinRetryAfter{ 100 };
    static constexpr milliseconds MaxRetryAfter{ 10'000 };

private:
    struct Waiting
    {
        TicketNumber ticket = 0;
        MonotonicTime deadline;
    };
    static constexpr std::size_t ClassCount = 3;

    int queueBoundOf(RequestClass requestClass) const;
    int waitingFromRank(std::size_t rank) const;
    microseconds expectedWaitBehind(int ahead) const;

    /// Queues by rank: bookings, lookups, bulk requests.
    std::array<std::deque<Waiting>, ClassCount> m_queues;
    std::vector<RefusedTicket> m_expired;
    int m_slots = 1;
    int m_queueBound = 0;
    /// Exponentially smoothed time for which a request holds a slot.
    microseconds m_serviceTime{ 50'000 };
};

} // namespace Tarragon
