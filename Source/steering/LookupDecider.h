#pragma once

#include "document/Configuration.h"
#include "steering/ClientBlockIndex.h"
#include "steering/EntryState.h"
#include "steering/LookupDecision.h"
#include "steering/LookupExplanation.h"
#include "steering/Weights.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace Tarragon {

/// Decides which entries the response to a lookup names. All tables are built in advance: those of
/// the document by the constructor, those of the weights by setWeights(). decide() allocates no
/// memory.
///
/// The serving region is chosen by weighted rendezvous hashing of the caller's hash, so a caller
/// keeps its region as long as the weights stay the same. When the share d moves from one of two
/// regions to the other, exactly this share of the callers moves; with more regions, at most
/// 2d / (1 + d) of the callers change their region; movedShare() computes the exact share.
///
/// The list of entries is only a hint to the caller. An entry that receives a request decides again
/// and must not run the request in a region other than the caller's serving region.
class LookupDecider
{
public:
    /// An entry instance with its locality.
    struct Entry
    {
        EntrySeat seat;
        FailureDomainId domain;
        std::uint16_t region = 0;
    };

    /// State of each entry, in the order of entries().
    using EntryStates = std::vector<EntryState>;

    /// Indexes the client blocks of a topology. Sites are positions in topology.regions. Throws
    /// Error if a block names an unknown region or there are too many regions.
    static std::shared_ptr<const ClientBlockIndex> indexBlocks(const Topology &topology);

    /// Builds the tables of a document. The index must come from indexBlocks() with the same
    /// regions and blocks; it may be reused when other parts of the document change. Until
    /// setWeights() is called, each caller region is served by itself or by its nearest region with
    /// entries.
    LookupDecider(ConfigurationPtr configuration, std::shared_ptr<const ClientBlockIndex> blocks);

    /// Replaces the weights, which come from the given plan. Regions that the document does not
    /// name are ignored.
    void setWeights(const Weights &weights, PlanVersion plan);

    /// Returns the entries for a caller to try. The hash identifies the caller and must be the same
    /// in each of its lookups.
    LookupDecision decide(const ServiceId &service, std::uint32_t address, std::uint64_t callerHash,
                          const EntryStates &states) const;

    /// Makes the same decision as decide() and returns it with all its inputs.
    LookupExplanation explain(const ServiceId &service, std::uint32_t address,
                              std::uint64_t callerHash, const EntryStates &states) const;

    /// Returns the serving region of a caller in the given region, without regard to the states of
    /// entries; LookupDecision::NoRegion if the service is unknown or no region has entries.
    std::uint16_t servingRegion(const ServiceId &service, std::uint16_t callerRegion,
                                std::uint64_t callerHash) const;

    const std::vector<RegionId> &regions() const { return m_regions; }
    const std::vector<Entry> &entries() const { return m_entries; }
    const Configuration &configuration() const { return *m_configuration; }
    PlanVersion plan() const { return m_plan; }
    /// Returns the memory of the tables, without the client blocks and the document.
    ByteCount memory() const;

private:
    /// A serving region of a row; the position of a region in regions().
    struct WeightedRegion
    {
        std::uint16_t region = 0;
        float weight = 0;
    };

    /// Range of a row in m_weightedRegions.
    struct Row
    {
        std::uint32_t begin = 0;
        std::uint32_t count = 0;
    };

    struct Domain
    {
        std::uint64_t hash = 0;
        std::uint16_t firstEntry = 0;
        std::uint16_t entryCount = 0;
    };

    struct RegionTable
    {
        std::uint64_t hash = 0;
        std::uint32_t firstDomain = 0;
        std::uint32_t domainCount = 0;
        bool hasEntries = false;
    };

    std::uint16_t regionIndex(const RegionId &region) const;
    void buildNearestServingRegions();
    void locateCaller(std::uint32_t address, LookupDecision &decision) const;
    std::uint16_t chooseRegion(const Row &row, std::uint16_t callerRegion, std::uint64_t callerHash,
                               std::uint16_t excludedRegion) const;
    std::uint16_t bestEntry(const Domain &domain, std::uint64_t callerHash,
                            const EntryStates &states, const LookupDecision &decision) const;
    void appendRegionEntries(std::uint16_t region, std::uint64_t callerHash,
                             const EntryStates &states, std::size_t limit,
                             LookupDecision &decision) const;
    void appendAlternative(const Row &row, std::uint64_t callerHash, const EntryStates &states,
                           LookupDecision &decision) const;

    ConfigurationPtr m_configuration;
    std::shared_ptr<const ClientBlockIndex> m_blocks;
    std::vector<RegionId> m_regions;
    std::vector<RegionTable> m_regionTables;
    std::vector<Domain> m_domains;
    std::vector<Entry> m_entries;
    std::vector<std::uint64_t> m_entryHashes;
    /// Regions with entries.
    std::vector<std::uint16_t> m_servingRegions;
    /// For each region its MaxNearestRegions nearest regions with entries, by link delay. A region
    /// that has entries itself comes first.
    std::vector<std::uint16_t> m_nearestServingRegions;
    std::uint16_t m_defaultRegion = LookupDecision::NoRegion;
    /// Position of each service's first row in m_rows; one row for each region follows.
    std::unordered_map<ServiceId, std::uint32_t> m_services;
    std::vector<Row> m_rows;
    std::vector<WeightedRegion> m_weightedRegions;
    PlanVersion m_plan;
};

} // namespace Tarragon
