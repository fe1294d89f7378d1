#include "routing/PartChooser.h"

#include "RoutingFixture.h"

#include <gtest/gtest.h>

#include <cmath>

namespace Tarragon {
namespace {

// Guards against a traffic split that follows the weights only in the long run: the number of
// requests may differ from the exact fraction by about one at any time.
TEST(PartChooserTest, SharesHoldForShortSpans)
{
    Route route = RoutingFixture::route();
    route.parts = { ServicePart{ ServiceId("a"), 70 }, ServicePart{ ServiceId("b"), 20 },
                    ServicePart{ ServiceId("c"), 10 }, ServicePart{ ServiceId("d"), 0 } };
    PartChooser chooser;
    std::map<std::string, int> counts;
    for (int i = 1; i <= 1'000; ++i) {
        ++counts[chooser.next(route).value()];
        EXPECT_LE(std::abs(counts["a"] - 0.7 * i), 1.5);
        EXPECT_LE(std::abs(counts["b"] - 0.2 * i), 1.5);
        EXPECT_LE(std::abs(counts["c"] - 0.1 * i), 1.5);
    }
    EXPECT_EQ(counts["d"], 0);
}

} // namespace
} // namespace Tarragon
