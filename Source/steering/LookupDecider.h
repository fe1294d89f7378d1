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

/// Decides which entries a caller is told. All tables are built in advance: those of the document
/// by the constructor, those of the weights by setWeights(). decide() allocates no memory.
///
/// The serving region is chosen by weighted rendezvous hashing of the caller's hash, so it stays
/// the same while the weights do. When the share d moves from one of two regions to the other,
/// exactly the callers of that share move; with more regions, at most 2d / (1 + d) of the callers
/// change their region, see rendezvousMoves().
///
/// The list is only a hint to the caller. An entry that receives a request decides again and must
/// not run it in a region that the caller's share does not belong to.
class LookupDecider
{
public:
    /// An entry instance with its place.
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

    /// Prepares the tables of a document. The index must come from indexBlocks() with the same
    /// regions and blocks; it may be kept when other parts of the document change. Without weights
    /// each caller region is served by its own or nearest region.
    LookupDecider(ConfigurationPtr configuration, std::shared_ptr<const ClientBlockIndex> blocks);

    /// Takes the weights to apply from now on. Regions that the document does not name are left
    /// out.
    void setWeights(const Weights &weights, PlanVersion plan);

    /// The entry list for a caller. The hash identifies the caller and must stay the same for it.
    LookupDecision decide(const ServiceId &service, std::uint32_t address, std::uint64_t callerHash,
                          const EntryStates &states) const;

    /// The same decision with every input.
    LookupExplanation explain(const ServiceId &service, std::uint32_t address,
                              std::uint64_t callerHash, const EntryStates &states) const;

    /// The serving region for a caller of a caller region, without regard to entries;
    /// LookupDecision::NoRegion if the service is unknown or no region has entries.
    std::uint16_t servingRegion(const ServiceId &service, std::uint16_t callerRegion,
                                std::uint64_t callerHash) const;

    const std::vector<RegionId> &regions() const { return m_regions; }
    const std::vector<Entry> &entries() const { return m_entries; }
    const Configuration &configuration() const { return *m_configuration; }
    PlanVersion plan() const { return m_plan; }
    /// Memory of the tables, without the client blocks and the document.
    ByteCount memory() const;

private:
    struct Choice
    {
        std::uint16_t region = 0;
        float weight = 0;
    };

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
    void buildNearest();
    void locateCaller(std::uint32_t address, LookupDecision &decision) const;
    std::uint16_t chooseRegion(const Row &row, std::uint16_t callerRegion, std::uint64_t callerHash,
                               std::uint16_t except) const;
    std::uint16_t bestEntry(const Domain &domain, std::uint64_t callerHash,
                            const EntryStates &states, const LookupDecision &decision) const;
    void listRegion(std::uint16_t region, std::uint64_t callerHash, const EntryStates &states,
                    std::size_t limit, LookupDecision &decision) const;
    void addAlternative(const Row &row, std::uint64_t callerHash, const EntryStates &states,
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
    /// For each region the nearest regions with entries, itself first; MaxNearest each.
    std::vector<std::uint16_t> m_nearest;
    std::uint16_t m_defaultRegion = LookupDecision::NoRegion;
    /// Position of each service's first row in m_rows; one row for each region follows.
    std::unordered_map<ServiceId, std::uint32_t> m_services;
    std::vector<Row> m_rows;
    std::vector<Choice> m_choices;
    PlanVersion m_plan;
};

} // namespace Tarragon
