#include "document/DocumentParser.h"
#include "document/TextFile.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <array>

namespace Tarragon {
namespace {

struct ExpectedDeployment
{
    std::string name;
    std::size_t entries = 0;
    std::string timeZone;
    /// For each service: number of targets, slots per target and connections per target.
    std::map<std::string, std::array<int, 3>> services;
};

class DeploymentsTest : public testing::TestWithParam<ExpectedDeployment>
{};

// The documents of Deployments/ must be valid and have the figures of docs/design.md; otherwise
// load tests with these deployments would measure something else.
TEST_P(DeploymentsTest, DocumentIsValidAndMatchesTheDesign)
{
    const ExpectedDeployment &expected = GetParam();
    const std::string path =
            std::string(TARRAGON_SOURCE_DIR "/Deployments/") + expected.name + "/document.yaml";
    Findings findings;
    const std::optional<Configuration> document =
            parseWholeDocument(readTextFile(path), path, findings);
    for (const Finding &it : findings) {
        ADD_FAILURE() << toString(it);
    }
    ASSERT_TRUE(document);

    const Topology &topology = document->topology;
    EXPECT_EQ(topology.regions.size(), 3U);
    EXPECT_EQ(topology.domains.size(), 6U);
    EXPECT_EQ(topology.links.size(), 6U);
    for (const RegionLink &it : topology.links) {
        EXPECT_EQ(it.capacity, Mbps{ 4000 });
        EXPECT_EQ(it.oneWayDelay, milliseconds(20));
    }
    std::size_t entries = 0;
    for (const auto &[id, domain] : topology.domains) {
        entries += domain.entries.size();
    }
    EXPECT_EQ(entries, expected.entries);

    ASSERT_EQ(document->services.size(), expected.services.size());
    for (const auto &[id, service] : document->services) {
        const auto it = expected.services.find(id.value());
        ASSERT_NE(it, expected.services.end());
        EXPECT_EQ(service.targets.size(), std::size_t(it->second[0]));
        for (const Target &target : service.targets) {
            EXPECT_EQ(target.slots.value, it->second[1]);
        }
        EXPECT_EQ(service.connectionsPerTarget, it->second[2]);
        ASSERT_EQ(service.peaks.size(), 1U);
        EXPECT_EQ(service.peaks[0].timeZone, expected.timeZone);
    }
    EXPECT_EQ(document->shifts.size(), expected.services.size() * 6);
    EXPECT_THAT(document->stops, testing::IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(All, DeploymentsTest,
                         testing::Values(ExpectedDeployment{ "kinisi",
                                                             10,
                                                             "Europe/Athens",
                                                             { { "catalog", { 12, 6, 330 } },
                                                               { "checkout", { 12, 3, 330 } },
                                                               { "media", { 12, 5, 330 } } } },
                                         ExpectedDeployment{ "lo-verde",
                                                             11,
                                                             "Europe/Rome",
                                                             { { "stato", { 14, 4, 390 } },
                                                               { "prenota", { 12, 3, 390 } },
                                                               { "archivio", { 14, 4, 390 } } } }),
                         [](const testing::TestParamInfo<ExpectedDeployment> &info) {
                             return info.param.name == "kinisi" ? "Kinisi" : "LoVerde";
                         });

} // namespace
} // namespace Tarragon
