#include "steering/AdmissionControl.h"

#include <algorithm>

namespace Tarragon {
namespace {

/// A new measurement counts for 1 / SmoothingDivisor of the smoothed service time.
constexpr int SmoothingDivisor = 8;

/// Returns the rank of a class; rank 0 is served first and shed last.
std::size_t rankOf(RequestClass requestClass)
{
    switch (requestClass) {
    case RequestClass::Booking:
        return 0;
    case RequestClass::Lookup:
        return 1;
    case RequestClass::Bulk:
        return 2;
    }
    return 2;
}

} // namespace

void AdmissionControl::setCapacity(int slots, int queueBound)
{
    m_slots = std::max(1, slots);
    m_queueBound = std::max(0, queueBound);
}

bool AdmissionControl::mustQueue(RequestClass requestClass) const
{
    return waitingFromRank(0) - waitingFromRank(rankOf(requestClass) + 1) > 0;
}

AdmissionResult AdmissionControl::enqueue(TicketNumber ticket, RequestClass requestClass,
                                          MonotonicTime deadline, MonotonicTime now)
{
    AdmissionResult result;
    const std::size_t rank = rankOf(requestClass);
    const bool tooLate = now + expectedWait(requestClass) >= deadline;
    if (tooLate || waiting(requestClass) >= queueBoundOf(requestClass)) {
        result.retryAfter = retryAfter();
        return result;
    }
    if (waiting() >= m_queueBound) {
        // Of the lowest class, the newest request is displaced, as it has waited the shortest time.
        std::size_t lowest = ClassCount - 1;
        while (lowest > rank && m_queues[lowest].empty()) {
            --lowest;
        }
        if (lowest <= rank) {
            result.retryAfter = retryAfter();
            return result;
        }
        result.displaced.push_back(RefusedTicket{ m_queues[lowest].back().ticket, retryAfter() });
        m_queues[lowest].pop_back();
    }
    m_queues[rank].push_back(Waiting{ ticket, deadline });
    result.queued = true;
    return result;
}

std::optional<TicketNumber> AdmissionControl::next(MonotonicTime now)
{
    for (std::deque<Waiting> &queue : m_queues) {
        while (!queue.empty()) {
            const Waiting first = queue.front();
            queue.pop_front();
            if (now < first.deadline) {
                return first.ticket;
            }
            m_expired.push_back(RefusedTicket{ first.ticket, retryAfter() });
        }
    }
    return std::nullopt;
}

void AdmissionControl::putBack(TicketNumber ticket, RequestClass requestClass,
                               MonotonicTime deadline)
{
    m_queues[rankOf(requestClass)].push_front(Waiting{ ticket, deadline });
}

bool AdmissionControl::cancel(TicketNumber ticket)
{
    return std::any_of(m_queues.begin(), m_queues.end(), [ticket](std::deque<Waiting> &queue) {
        return std::erase_if(queue, [ticket](const Waiting &it) { return it.ticket == ticket; })
               > 0;
    });
}

std::vector<RefusedTicket> AdmissionControl::takeExpired(MonotonicTime now)
{
    std::vector<RefusedTicket> expired = std::move(m_expired);
    m_expired.clear();
    const milliseconds again = retryAfter();
    for (std::deque<Waiting> &queue : m_queues) {
        std::erase_if(queue, [&](const Waiting &it) {
            if (now < it.deadline) {
                return false;
            }
            expired.push_back(RefusedTicket{ it.ticket, again });
            return true;
        });
    }
    return expired;
}

void AdmissionControl::onServed(microseconds serviceTime)
{
    m_serviceTime += (serviceTime - m_serviceTime) / SmoothingDivisor;
}

int AdmissionControl::waiting() const
{
    return waitingFromRank(0);
}

int AdmissionControl::waiting(RequestClass requestClass) const
{
    return static_cast<int>(m_queues[rankOf(requestClass)].size());
}

microseconds AdmissionControl::expectedWait(RequestClass requestClass) const
{
    return expectedWaitBehind(waiting() - waitingFromRank(rankOf(requestClass) + 1));
}

milliseconds AdmissionControl::retryAfter() const
{
    const auto wait = std::chrono::duration_cast<milliseconds>(expectedWaitBehind(waiting()));
    return std::clamp(wait, MinRetryAfter, MaxRetryAfter);
}

/// Returns the maximum number of queued requests of a class. Bulk requests may fill half of the
/// queue and lookups three quarters, so that a booking that arrives in a burst of others finds a
/// place.
int AdmissionControl::queueBoundOf(RequestClass requestClass) const
{
    switch (requestClass) {
    case RequestClass::Booking:
        return m_queueBound;
    case RequestClass::Lookup:
        return (m_queueBound * 3 + 3) / 4;
    case RequestClass::Bulk:
        return m_queueBound / 2;
    }
    return 0;
}

/// Returns the number of requests that wait in classes of the given rank and of lower priority.
int AdmissionControl::waitingFromRank(std::size_t rank) const
{
    std::size_t sum = 0;
    for (std::size_t i = rank; i < ClassCount; ++i) {
        sum += m_queues[i].size();
    }
    return static_cast<int>(sum);
}

/// Returns the expected time until a request with the given number of requests ahead of it gets a
/// slot, if all slots are in use.
microseconds AdmissionControl::expectedWaitBehind(int ahead) const
{
    return m_serviceTime * (ahead + 1) / m_slots;
}

} // namespace Tarragon
