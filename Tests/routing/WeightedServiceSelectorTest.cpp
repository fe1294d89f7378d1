#include "routing/WeightedServiceSelector.h"

#include "RoutingFixture.h"

#include <gtest/gtest.h>

#include <cmath>

namespace Tarragon {
namespace {

// Guards against a traffic split that follows the weights only in the long run: the number of
// requests may differ from the exact fraction by about one at any time.
TEST(WeightedServiceSelectorTest, SharesHoldForShortSpans)
{
    Route route = RoutingFixture::route();
    route.weightedServices = { WeightedService{ ServiceId("a"), 70 },
                               WeightedService{ ServiceId("b"), 20 },
                               WeightedService{ ServiceId("c"), 10 },
                               WeightedService{ ServiceId("d"), 0 } };
    WeightedServiceSelector selector;
    std::map<std::string, int> counts;
    for (int i = 1; i <= 1'000; ++i) {
        ++counts[selector.nextService(route).value()];
        EXPECT_LE(std::abs(counts["a"] - 0.7 * i), 1.5);
        EXPECT_LE(std::abs(counts["b"] - 0.2 * i), 1.5);
        EXPECT_LE(std::abs(counts["c"] - 0.1 * i), 1.5);
    }
    EXPECT_EQ(counts["d"], 0);
}

} // namespace
} // namespace Tarragon
