#pragma once

#include "base/Units.h"
#include "document/ServiceConfiguration.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace Tarragon {

/// A request that waits for a slot, as numbered by the caller of AdmissionControl.
using TicketNumber = std::uint64_t;

/// A request that leaves the queue without a slot.
struct RefusedTicket
{
    TicketNumber ticket = 0;
    /// Time after which a new attempt is likely to be admitted.
    milliseconds retryAfter{ 0 };
};

/// Answer to a request that found no free slot.
struct AdmissionResult
{
    /// Whether the request now waits; otherwise it is refused.
    bool queued = false;
    /// Set if refused.
    milliseconds retryAfter{ 0 };
    /// Requests of a lesser class that gave up their place; to be refused with NotRun.
    std::vector<RefusedTicket> displaced;
};

/// The queue of one service at one entry: short, ordered by class, refusing early what could not
/// be served in time. Bulk requests give way first, bookings last.
class AdmissionControl
{
public:
    /// Sets the number of slots that serve the queue and the number of requests that may wait.
    void setCapacity(int slots, int queueBound);

    /// Whether a new request of the class has to queue behind others even if a slot is free.
    bool mustQueue(RequestClass requestClass) const;
    /// A request that got no slot. Refused at once if its class has no place left or it would
    /// probably wait past its deadline.
    AdmissionResult enqueue(TicketNumber ticket, RequestClass requestClass, MonotonicTime deadline,
                            MonotonicTime now);
    /// The request to be served next, which leaves the queue; nothing if none waits. Requests past
    /// their deadline are skipped; takeExpired() returns them.
    std::optional<TicketNumber> next(MonotonicTime now);
    /// Puts a request that next() returned back at the front, after it found no slot.
    void putBack(TicketNumber ticket, RequestClass requestClass, MonotonicTime deadline);
    /// Removes a request whose caller has gone away. False if it does not wait.
    bool cancel(TicketNumber ticket);
    /// Requests whose deadline has passed while they waited; they leave the queue.
    std::vector<RefusedTicket> takeExpired(MonotonicTime now);

    /// Time that a request held its slot.
    void onServed(microseconds serviceTime);

    int waiting() const;
    int waiting(RequestClass requestClass) const;
    /// Expected wait of a new request of the class.
    microseconds expectedWait(RequestClass requestClass) const;
    /// Retry-After for a request that is refused now.
    milliseconds retryAfter() const;

    /// Bounds of Retry-After. The lower one keeps callers from hammering, the upper one keeps a
    /// wrong estimate from locking them out.
    static constexpr milliseconds MinRetryAfter{ 100 };
    static constexpr milliseconds MaxRetryAfter{ 10'000 };

private:
    struct Waiting
    {
        TicketNumber ticket = 0;
        MonotonicTime deadline;
    };
    static constexpr std::size_t ClassCount = 3;

    int boundOf(RequestClass requestClass) const;
    int waitingFrom(std::size_t rank) const;
    microseconds waitBehind(int ahead) const;

    /// By rank: bookings, lookups, bulk.
    std::array<std::deque<Waiting>, ClassCount> m_queues;
    std::vector<RefusedTicket> m_expired;
    int m_slots = 1;
    int m_queueBound = 0;
    /// Smoothed time that a request holds a slot.
    microseconds m_serviceTime{ 50'000 };
};

} // namespace Tarragon
