#include "steering/AdmissionControl.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

MonotonicTime at(std::int64_t ms)
{
    return MonotonicTime(milliseconds(ms));
}

class AdmissionControlTest : public testing::Test
{
protected:
    AdmissionControlTest() { m_admission.setCapacity(4, 4); }

    AdmissionResult enqueue(TicketNumber ticket, RequestClass requestClass,
                            std::int64_t deadline = 10'000)
    {
        return m_admission.enqueue(ticket, requestClass, at(deadline), at(0));
    }

    AdmissionControl m_admission;
};

// Bookings are the most valuable requests: under overload they displace others from the queue.
TEST_F(AdmissionControlTest, ShedsBulkFirstAndBookingsLast)
{
    EXPECT_TRUE(enqueue(1, RequestClass::Bulk).queued);
    EXPECT_TRUE(enqueue(2, RequestClass::Lookup).queued);
    EXPECT_TRUE(enqueue(3, RequestClass::Lookup).queued);
    EXPECT_TRUE(enqueue(4, RequestClass::Booking).queued);

    const AdmissionResult first = enqueue(5, RequestClass::Booking);
    ASSERT_EQ(first.displaced.size(), 1U);
    EXPECT_EQ(first.displaced[0].ticket, 1U);
    const AdmissionResult second = enqueue(6, RequestClass::Booking);
    ASSERT_EQ(second.displaced.size(), 1U);
    EXPECT_EQ(second.displaced[0].ticket, 3U);

    EXPECT_FALSE(enqueue(7, RequestClass::Lookup).queued);
    EXPECT_TRUE(enqueue(8, RequestClass::Booking).queued);
    EXPECT_FALSE(enqueue(9, RequestClass::Booking).queued);
    EXPECT_EQ(m_admission.waiting(), 4);
}

// A queue full of bulk requests would delay every other request or cause its refusal.
TEST_F(AdmissionControlTest, BoundsTheQueueByClass)
{
    EXPECT_TRUE(enqueue(1, RequestClass::Bulk).queued);
    EXPECT_TRUE(enqueue(2, RequestClass::Bulk).queued);
    EXPECT_FALSE(enqueue(3, RequestClass::Bulk).queued);
    EXPECT_EQ(m_admission.waiting(RequestClass::Bulk), 2);
}

TEST_F(AdmissionControlTest, ServesByClassThenByArrival)
{
    enqueue(1, RequestClass::Bulk);
    enqueue(2, RequestClass::Lookup);
    enqueue(3, RequestClass::Booking);
    enqueue(4, RequestClass::Lookup);
    EXPECT_TRUE(m_admission.mustQueue(RequestClass::Bulk));
    EXPECT_EQ(m_admission.next(at(1)), 3U);
    EXPECT_FALSE(m_admission.mustQueue(RequestClass::Booking));
    EXPECT_EQ(m_admission.next(at(1)), 2U);
    m_admission.putBack(2, RequestClass::Lookup, at(10'000));
    EXPECT_EQ(m_admission.next(at(1)), 2U);
    EXPECT_EQ(m_admission.next(at(1)), 4U);
    EXPECT_EQ(m_admission.next(at(1)), 1U);
    EXPECT_EQ(m_admission.next(at(1)), std::nullopt);
}

// A request that cannot be served in time would only take the place of one that can.
TEST_F(AdmissionControlTest, RefusesEarlyWhatWouldWaitPastItsDeadline)
{
    for (int i = 0; i < 100; ++i) {
        m_admission.onServed(milliseconds(400));
    }
    EXPECT_TRUE(enqueue(1, RequestClass::Lookup, 150).queued);
    const AdmissionResult refused = enqueue(2, RequestClass::Lookup, 150);
    EXPECT_FALSE(refused.queued);
    // Two requests of 400 ms each over 4 slots.
    EXPECT_NEAR(static_cast<double>(refused.retryAfter.count()), 200, 5);
}

TEST_F(AdmissionControlTest, BoundsRetryAfter)
{
    for (int i = 0; i < 200; ++i) {
        m_admission.onServed(seconds(1'000));
    }
    EXPECT_EQ(m_admission.retryAfter(), AdmissionControl::MaxRetryAfter);
    for (int i = 0; i < 200; ++i) {
        m_admission.onServed(microseconds(10));
    }
    EXPECT_EQ(m_admission.retryAfter(), AdmissionControl::MinRetryAfter);
}

// A waiting request must get its final response at its deadline, and a slot must not be spent on
// a request whose caller has closed the connection.
TEST_F(AdmissionControlTest, DropsExpiredAndCancelledRequests)
{
    enqueue(1, RequestClass::Booking, 100);
    enqueue(2, RequestClass::Booking, 1'000);
    enqueue(3, RequestClass::Lookup, 100);
    EXPECT_EQ(m_admission.next(at(100)), 2U);
    const std::vector<RefusedTicket> expired = m_admission.takeExpired(at(100));
    ASSERT_EQ(expired.size(), 2U);
    EXPECT_EQ(expired[0].ticket, 1U);
    EXPECT_EQ(expired[1].ticket, 3U);
    enqueue(4, RequestClass::Bulk);
    EXPECT_TRUE(m_admission.cancel(4));
    EXPECT_FALSE(m_admission.cancel(4));
    EXPECT_EQ(m_admission.waiting(), 0);
}

} // namespace
} // namespace Tarragon
