#include "steering/LinkBudget.h"

#include "SteeringFixture.h"
#include "base/Error.h"

#include <gtest/gtest.h>

#include <random>

namespace Tarragon {
namespace {

const ServiceId catalog("catalog");
const RegionId a("a");
const RegionId b("b");

/// Region "a" has four entries, so each entry gets 1 Mbyte/s of this cap.
constexpr Mbps CapRate{ 32 };
constexpr double BytesPerSecond = 1e6;

Configuration withCap()
{
    Configuration configuration = Testing::threeRegions();
    configuration.shifts.push_back({ catalog, a, b, Share::whole(), seconds(60), CapRate });
    return configuration;
}

// Over any interval the entry may send at most its rate times the interval plus one burst or
// message, whatever the sizes of the messages.
TEST(LinkBudget, NeverSendsMoreThanItsRateAndOneMessage)
{
    for (unsigned seed = 0; seed < 50; ++seed) {
        std::mt19937 random(seed);
        MonotonicTime now(seconds(1'000));
        LinkBudget budget(withCap(), a, now);
        std::vector<std::pair<MonotonicTime, double>> sent;
        for (int i = 0; i < 500; ++i) {
            now += microseconds(random() % 200'000);
            const ByteCount size{ random() % 3 == 0 ? random() % LinkBudget::MaxMessageSize.value
                                                    : random() % 20'000 };
            if (!budget.trySend(catalog, b, size, now)) {
                sent.emplace_back(now, static_cast<double>(size.value));
            }
        }
        ASSERT_GT(sent.size(), 20U);
        for (std::size_t i = 0; i < sent.size(); ++i) {
            double sum = 0;
            for (std::size_t k = i; k < sent.size(); ++k) {
                sum += sent[k].second;
                const double passed =
                        std::chrono::duration<double>(sent[k].first - sent[i].first).count();
                ASSERT_LE(sum, BytesPerSecond * passed
                                       + static_cast<double>(LinkBudget::MaxMessageSize.value) + 1)
                        << "seed " << seed;
            }
        }
    }
}

// A message that is larger than the burst must be sent after the returned wait, not wait forever.
TEST(LinkBudget, TheReportedWaitIsEnoughForALargeMessage)
{
    MonotonicTime now(seconds(1));
    LinkBudget budget(withCap(), a, now);
    for (int i = 0; i < 5; ++i) {
        const std::optional<milliseconds> wait =
                budget.trySend(catalog, b, LinkBudget::MaxMessageSize, now);
        ASSERT_TRUE(wait.has_value());
        now += *wait;
        ASSERT_FALSE(budget.trySend(catalog, b, LinkBudget::MaxMessageSize, now).has_value());
    }
}

// The capacity of a link limits all services together, even if none of them has a cap.
TEST(LinkBudget, TheLinkLimitsServicesWithoutCap)
{
    Configuration configuration = Testing::threeRegions();
    for (RegionLink &it : configuration.topology.links) {
        it.capacity = CapRate;
    }
    const MonotonicTime now(seconds(1));
    LinkBudget budget(configuration, a, now);
    EXPECT_TRUE(budget.trySend(catalog, b, ByteCount{ 1'000 }, now).has_value());
    EXPECT_FALSE(budget.trySend(catalog, a, ByteCount{ 1'000 }, now).has_value());
    EXPECT_FALSE(budget.trySend(catalog, b, ByteCount{ 1'000 }, now + seconds(1)).has_value());
}

TEST(LinkBudget, AMessageAboveTheMaximumSizeIsAnError)
{
    const MonotonicTime now(seconds(1));
    LinkBudget budget(withCap(), a, now);
    EXPECT_THROW(budget.trySend(catalog, b, ByteCount{ LinkBudget::MaxMessageSize.value + 1 }, now),
                 Error);
}

// A new document must not refill the buckets, otherwise repeated edits would allow more than the
// cap.
TEST(LinkBudget, ANewDocumentDoesNotRefillBuckets)
{
    MonotonicTime now(seconds(1));
    LinkBudget budget(withCap(), a, now);
    now += seconds(10);
    EXPECT_FALSE(budget.trySend(catalog, b, LinkBudget::MaxMessageSize, now).has_value());
    budget.setConfiguration(withCap(), now);
    EXPECT_TRUE(budget.trySend(catalog, b, ByteCount{ 1'000 }, now).has_value());
}

} // namespace
} // namespace Tarragon
