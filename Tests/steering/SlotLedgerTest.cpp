#include "steering/SlotLedger.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

MonotonicTime at(std::int64_t ms)
{
    return MonotonicTime(milliseconds(ms));
}

const ServiceId &catalog()
{
    static const ServiceId id("catalog");
    return id;
}

// A slot that no seat owns is never used; a slot that two seats own is used twice.
TEST(StaticShare, SumsToTheSlotsAndIsFair)
{
    std::map<int, int> remainders;
    for (int slots = 0; slots <= 7; ++slots) {
        for (int seats = 1; seats <= 4; ++seats) {
            for (int i = 0; i < 50; ++i) {
                const TargetId target("t-" + std::to_string(i));
                int sum = 0;
                for (int seat = 0; seat < seats; ++seat) {
                    const int share = staticShare(target, SlotCount{ slots }, seat, seats).value;
                    EXPECT_GE(share, slots / seats);
                    EXPECT_LE(share, (slots + seats - 1) / seats);
                    sum += share;
                    if (slots == 3 && seats == 2) {
                        remainders[seat] += share - 1;
                    }
                }
                EXPECT_EQ(sum, slots);
            }
        }
    }
    // With two seats, neither gets the remaining slot at most of the targets.
    EXPECT_GE(remainders[0], 15);
    EXPECT_GE(remainders[1], 15);
    EXPECT_EQ(staticShare(TargetId("t"), SlotCount{ 3 }, 2, 2).value, 0);
    EXPECT_EQ(staticShare(TargetId("t"), SlotCount{ 3 }, -1, 2).value, 0);
}

/// Two entries of a domain with targets t-0 and t-1 of 6 slots each. Both entries have left
/// recovery and have exchanged reports.
class SlotLedgerTest : public testing::Test
{
protected:
    SlotLedgerTest()
        : m_a(InstanceId("a"), Incarnation(11), SlotLedgerOptions(), at(0))
        , m_b(InstanceId("b"), Incarnation(22), SlotLedgerOptions(), at(0))
    {
        m_shares.generation = Generation(1);
        m_shares.seats = { InstanceId("a"), InstanceId("b") };
        m_shares.targets = { SlotTarget{ TargetId("t-0"), catalog(), SlotCount{ 6 } },
                             SlotTarget{ TargetId("t-1"), catalog(), SlotCount{ 6 } } };
        m_a.adopt(m_shares, at(0));
        m_b.adopt(m_shares, at(0));
        for (m_now = 0; m_now < 4'000; m_now += 500) {
            exchange();
        }
    }
    void exchange()
    {
        m_b.onShareReport(m_a.reportFor(InstanceId("b"), now()), now());
        m_a.onShareReport(m_b.reportFor(InstanceId("a"), now()), now());
    }
    MonotonicTime now() const { return at(m_now); }
    std::optional<SlotPermit> take(SlotLedger &ledger, const std::string &target = "t-0")
    {
        const SlotResult result =
                ledger.acquire(TargetId(target), now(), now() + milliseconds(5'000));
        const SlotPermit *permit = std::get_if<SlotPermit>(&result);
        return permit ? std::make_optional(*permit) : std::nullopt;
    }
    /// Sends b's requests for grants to a; returns the number of slots granted.
    std::size_t borrow()
    {
        std::size_t granted = 0;
        for (const GrantRequest &request : m_b.requestsToSend(now())) {
            const GrantResponse response = m_a.onGrantRequest(request, now());
            granted += response.granted.size();
            m_b.onGrantResponse(response, now());
        }
        return granted;
    }

    SlotShares m_shares;
    SlotLedger m_a;
    SlotLedger m_b;
    std::int64_t m_now = 0;
};

TEST_F(SlotLedgerTest, EntriesTakeTheirSharesOnly)
{
    for (int i = 0; i < 3; ++i) {
        EXPECT_TRUE(take(m_a));
        EXPECT_TRUE(take(m_b));
    }
    EXPECT_FALSE(take(m_a));
    EXPECT_FALSE(take(m_b));
}

TEST_F(SlotLedgerTest, ReleaseIsCountedOnce)
{
    const std::optional<SlotPermit> first = take(m_a);
    ASSERT_TRUE(first && take(m_a) && take(m_a));
    m_a.release(first->id, now());
    m_a.release(first->id, now());
    EXPECT_TRUE(take(m_a));
    EXPECT_FALSE(take(m_a));
}

// The target notices a closed connection later than this entry, so the slot must not be reused at
// once.
TEST_F(SlotLedgerTest, AnAbortedRequestKeepsItsSlotForTheTransit)
{
    const std::optional<SlotPermit> first = take(m_a);
    ASSERT_TRUE(first && take(m_a) && take(m_a));
    m_a.abort(first->id, now());
    EXPECT_FALSE(m_a.mayStart(*first, now()));
    EXPECT_FALSE(take(m_a));
    m_now += 250;
    EXPECT_TRUE(take(m_a));
}

TEST_F(SlotLedgerTest, ChoosesTheTargetWithTheLargestWeightedFreeShare)
{
    const auto choose = [&](const std::set<TargetId> &excluded) {
        const SlotResult result =
                m_a.acquireAny(catalog(), excluded, now(), now() + milliseconds(500));
        return std::get<SlotPermit>(result).target.value();
    };
    ASSERT_TRUE(take(m_a, "t-0"));
    EXPECT_EQ(choose({}), "t-1");
    EXPECT_EQ(choose({ TargetId("t-1") }), "t-0");
    m_a.setCondition(TargetId("t-1"), 0.2, 1);
    EXPECT_EQ(choose({}), "t-0");
    m_a.setLeaving(TargetId("t-0"), true);
    EXPECT_EQ(choose({}), "t-1");
    const SlotResult none =
            m_a.acquireAny(catalog(), { TargetId("t-1") }, now(), now() + milliseconds(500));
    EXPECT_EQ(std::get<SlotRefusal>(none), SlotRefusal::NoTarget);
}

// A target with cold caches would fail again if all of its slots were used at once.
TEST_F(SlotLedgerTest, AColdTargetGetsPartOfItsSlots)
{
    m_a.setCondition(TargetId("t-0"), 1, 0.34);
    EXPECT_TRUE(take(m_a));
    EXPECT_FALSE(take(m_a));
}

TEST_F(SlotLedgerTest, LendsIdleSlotsButKeepsOne)
{
    for (int i = 0; i < 3; ++i) {
        ASSERT_TRUE(take(m_b));
    }
    std::size_t borrowed = 0;
    // Every refusal makes b request one slot.
    for (int i = 0; i < 6; ++i) {
        const std::optional<SlotPermit> extra = take(m_b);
        EXPECT_EQ(extra.has_value(), i == 1 || i == 3) << i;
        borrowed += borrow();
        m_now += 300;
    }
    EXPECT_EQ(borrowed, 2U);
    EXPECT_TRUE(take(m_a));
    EXPECT_FALSE(take(m_a));
}

// The target may work on the request until its deadline, and must have stopped before the lender
// uses the slot again.
TEST_F(SlotLedgerTest, ABorrowedSlotEndsBeforeTheLenderHasItBack)
{
    for (int i = 0; i < 3; ++i) {
        ASSERT_TRUE(take(m_b));
    }
    ASSERT_FALSE(take(m_b));
    const MonotonicTime asked = now();
    ASSERT_EQ(borrow(), 1U);
    const std::optional<SlotPermit> permit = take(m_b);
    ASSERT_TRUE(permit && permit->borrowed);
    EXPECT_EQ(permit->runUntil, asked + milliseconds(2'000));
    EXPECT_TRUE(m_b.mayStart(*permit, permit->runUntil - milliseconds(1)));
    EXPECT_FALSE(m_b.mayStart(*permit, permit->runUntil));
    EXPECT_EQ(m_a.lent(TargetId("t-0"), asked + milliseconds(2'200)), 1);
    EXPECT_EQ(m_a.lent(TargetId("t-0"), asked + milliseconds(2'290)), 0);
}

// A duplicated request must not take a second slot from the lender.
TEST_F(SlotLedgerTest, ADoubledRequestIsGrantedOnce)
{
    for (int i = 0; i < 3; ++i) {
        ASSERT_TRUE(take(m_b));
    }
    ASSERT_FALSE(take(m_b));
    const std::vector<GrantRequest> requests = m_b.requestsToSend(now());
    ASSERT_EQ(requests.size(), 1U);
    const GrantResponse first = m_a.onGrantRequest(requests[0], now());
    const GrantResponse second = m_a.onGrantRequest(requests[0], now());
    EXPECT_EQ(m_a.lent(TargetId("t-0"), now()), 1);
    m_b.onGrantResponse(first, now());
    m_b.onGrantResponse(second, now());
    EXPECT_EQ(m_b.borrowed(TargetId("t-0"), now()), 1);
}

TEST_F(SlotLedgerTest, RenewsWhatIsUsedAndReturnsWhatIsIdle)
{
    for (int i = 0; i < 3; ++i) {
        ASSERT_TRUE(take(m_b));
    }
    ASSERT_FALSE(take(m_b));
    ASSERT_EQ(borrow(), 1U);
    const std::optional<SlotPermit> permit = take(m_b);
    ASSERT_TRUE(permit);
    for (int i = 0; i < 6; ++i) {
        m_now += 500;
        exchange();
        borrow();
    }
    EXPECT_EQ(m_b.borrowed(TargetId("t-0"), now()), 1);
    m_b.release(permit->id, now());
    m_now += 600;
    borrow();
    EXPECT_EQ(m_b.borrowed(TargetId("t-0"), now()), 0);
    EXPECT_EQ(m_a.lent(TargetId("t-0"), now()), 0);
}

// A lender under load needs its slots itself, so it lets its grants expire.
TEST_F(SlotLedgerTest, DoesNotRenewWhenShortItself)
{
    for (int i = 0; i < 3; ++i) {
        ASSERT_TRUE(take(m_b));
    }
    ASSERT_FALSE(take(m_b));
    ASSERT_EQ(borrow(), 1U);
    ASSERT_TRUE(take(m_b));
    ASSERT_TRUE(take(m_a) && take(m_a));
    for (int i = 0; i < 6; ++i) {
        m_now += 400;
        exchange();
        take(m_a);
        borrow();
    }
    EXPECT_EQ(m_b.borrowed(TargetId("t-0"), now()), 0);
    EXPECT_EQ(m_a.running(TargetId("t-0")), 3);
}

// Otherwise both entries would use the slots that move from one to the other.
TEST_F(SlotLedgerTest, ALargerShareWaitsForThePreviousOwner)
{
    const std::optional<SlotPermit> running = take(m_b);
    ASSERT_TRUE(running);
    SlotShares next = m_shares;
    next.generation = Generation(2);
    next.previous = Generation(1);
    next.seats = { InstanceId("a") };
    m_a.adopt(next, now());
    exchange();
    EXPECT_EQ(m_a.allowance(TargetId("t-0"), now()), 3);
    m_b.adopt(next, now());
    EXPECT_FALSE(take(m_b));
    exchange();
    EXPECT_EQ(m_a.allowance(TargetId("t-0"), now()), 3);
    m_b.release(running->id, now());
    exchange();
    EXPECT_EQ(m_a.allowance(TargetId("t-0"), now()), 6);
}

TEST_F(SlotLedgerTest, ALargerShareIsFreeWhenThePreviousOwnerHasTimedOut)
{
    SlotShares next = m_shares;
    next.generation = Generation(2);
    next.previous = Generation(1);
    next.seats = { InstanceId("a") };
    m_a.adopt(next, now());
    const std::int64_t timeoutMs = SlotLedgerOptions().neighbourTimeout().count() / 1'000;
    for (std::int64_t waited = 0; waited < timeoutMs - 1'000; waited += 500) {
        m_now += 500;
        m_a.reportFor(InstanceId("b"), now());
        EXPECT_EQ(m_a.allowance(TargetId("t-0"), now()), 3);
    }
    m_now += 1'100;
    m_a.reportFor(InstanceId("b"), now());
    EXPECT_EQ(m_a.allowance(TargetId("t-0"), now()), 6);
}

// A paused entry does not know which of its slots neighbours have started to use in the meantime.
TEST_F(SlotLedgerTest, APausedEntryWaitsForACurrentReport)
{
    const std::optional<SlotPermit> taken = take(m_a);
    ASSERT_TRUE(taken);
    const ShareReport old = m_b.reportFor(InstanceId("a"), now());
    for (int i = 0; i < 10; ++i) {
        m_now += 500;
        m_b.reportFor(InstanceId("a"), now());
    }
    EXPECT_FALSE(m_a.mayStart(*taken, now()));
    m_a.onShareReport(old, now());
    const SlotResult result = m_a.acquire(TargetId("t-0"), now(), now() + milliseconds(100));
    EXPECT_EQ(std::get<SlotRefusal>(result), SlotRefusal::Recovering);
    exchange();
    EXPECT_TRUE(take(m_a));
    EXPECT_FALSE(m_a.mayStart(*taken, now()));
}

// Under the missed document, a neighbour may have used this entry's slots.
TEST_F(SlotLedgerTest, AMissedDocumentGivesNoSlotsUntilANeighbourKnowsTheHistory)
{
    SlotShares missed = m_shares;
    missed.generation = Generation(2);
    missed.previous = Generation(1);
    SlotShares next = m_shares;
    next.generation = Generation(3);
    next.previous = Generation(2);
    m_a.adopt(next, now());
    exchange();
    EXPECT_EQ(m_a.allowance(TargetId("t-0"), now()), 0);
    m_b.adopt(missed, now());
    m_b.adopt(next, now());
    exchange();
    exchange();
    EXPECT_EQ(m_a.allowance(TargetId("t-0"), now()), 3);
}

/// Runs an entry's periodic work until the given time in milliseconds.
void tickUntil(SlotLedger &ledger, std::int64_t from, std::int64_t to)
{
    for (std::int64_t ms = from; ms <= to; ms += 50) {
        static_cast<void>(ledger.requestsToSend(at(ms)));
    }
}

// Guards against an entry without neighbours that fences itself every 3 s, because it sends no
// reports, and never serves.
TEST(SlotLedgerAlone, ServesWithoutNeighboursAndIsFencedByAPauseOnly)
{
    SlotLedger ledger(InstanceId("a"), Incarnation(1), SlotLedgerOptions(), at(0));
    SlotShares shares;
    shares.generation = Generation(1);
    shares.seats = { InstanceId("a") };
    shares.targets = { SlotTarget{ TargetId("t-0"), catalog(), SlotCount{ 6 } } };
    ledger.adopt(shares, at(0));
    tickUntil(ledger, 0, 20'000);
    EXPECT_EQ(ledger.allowance(TargetId("t-0"), at(20'000)), 6);

    const SlotResult afterPause = ledger.acquire(TargetId("t-0"), at(30'000), at(31'000));
    ASSERT_TRUE(std::holds_alternative<SlotRefusal>(afterPause));
    EXPECT_EQ(std::get<SlotRefusal>(afterPause), SlotRefusal::Recovering);
    tickUntil(ledger, 30'000, 50'000);
    EXPECT_EQ(ledger.allowance(TargetId("t-0"), at(50'000)), 6);
}

} // namespace
} // namespace Tarragon
