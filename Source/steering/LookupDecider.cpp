#include "steering/LookupDecider.h"

#include "base/Digest.h"
#include "base/Error.h"
#include "steering/Rendezvous.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace Tarragon {

namespace {

/// Number of nearest regions kept for each caller region: the region itself and alternatives for
/// the case that none of its entries can be named.
constexpr std::size_t MaxNearestRegions = 4;

constexpr std::uint16_t NoEntry = 0xffff;

/// Assumed delay between regions without a link in the document. It sorts after all real delays.
constexpr std::int64_t UnknownDelayMs = 1'000'000;

std::string blockText(const ClientBlockIndex::Match &match)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        text += std::to_string(match.network >> unsigned(shift) & 0xffU);
        text += shift > 0 ? "." : "/";
    }
    return text + std::to_string(match.prefixLength);
}

} // namespace

std::shared_ptr<const ClientBlockIndex> LookupDecider::indexBlocks(const Topology &topology)
{
    if (topology.regions.size() >= ClientBlockIndex::NoSite) {
        throw Error("topology: found " + std::to_string(topology.regions.size())
                    + " regions, expected fewer than " + std::to_string(ClientBlockIndex::NoSite));
    }
    std::unordered_map<RegionId, ClientBlockIndex::Site> sites;
    for (const auto &[id, region] : topology.regions) {
        sites.emplace(id, static_cast<ClientBlockIndex::Site>(sites.size()));
    }
    std::vector<ClientBlockIndex::Block> blocks;
    blocks.reserve(topology.clientBlocks.size());
    for (const ClientBlock &it : topology.clientBlocks) {
        const auto site = sites.find(it.region);
        if (site == sites.end()) {
            throw Error("client block: found region \"" + it.region.value()
                        + "\", expected one of the topology");
        }
        blocks.push_back({ it.network, static_cast<std::uint8_t>(it.prefixLength), site->second });
    }
    return std::make_shared<const ClientBlockIndex>(std::move(blocks));
}

LookupDecider::LookupDecider(ConfigurationPtr configuration,
                             std::shared_ptr<const ClientBlockIndex> blocks)
    : m_configuration(std::move(configuration))
    , m_blocks(std::move(blocks))
{
    const Topology &topology = m_configuration->topology;
    std::map<RegionId, std::vector<const FailureDomain *>> domainsOf;
    for (const auto &[id, domain] : topology.domains) {
        domainsOf[domain.region].push_back(&domain);
    }
    for (const auto &[id, region] : topology.regions) {
        const auto index = static_cast<std::uint16_t>(m_regions.size());
        RegionTable table{ stableHash(id.value()), static_cast<std::uint32_t>(m_domains.size()), 0,
                           false };
        for (const FailureDomain *domain : domainsOf[id]) {
            m_domains.push_back({ stableHash(domain->id.value()),
                                  static_cast<std::uint16_t>(m_entries.size()),
                                  static_cast<std::uint16_t>(domain->entries.size()) });
            for (const EntrySeat &seat : domain->entries) {
                m_entries.push_back({ seat, domain->id, index });
                m_entryHashes.push_back(stableHash(seat.id.value()));
                table.hasEntries = true;
            }
            ++table.domainCount;
        }
        if (table.hasEntries) {
            m_servingRegions.push_back(index);
        }
        m_regions.push_back(id);
        m_regionTables.push_back(table);
    }
    if (m_entries.size() >= NoEntry) {
        throw Error("topology: found " + std::to_string(m_entries.size())
                    + " entries, expected fewer than " + std::to_string(NoEntry));
    }
    m_defaultRegion = regionIndex(topology.defaultRegion);
    buildNearestServingRegions();
    setWeights({}, PlanVersion());
}

std::uint16_t LookupDecider::regionIndex(const RegionId &region) const
{
    const auto it = std::lower_bound(m_regions.begin(), m_regions.end(), region);
    if (it == m_regions.end() || *it != region) {
        return LookupDecision::NoRegion;
    }
    return static_cast<std::uint16_t>(it - m_regions.begin());
}

void LookupDecider::buildNearestServingRegions()
{
    std::unordered_map<std::uint32_t, std::int64_t> delays;
    const auto key = [](std::uint16_t from, std::uint16_t to) {
        return std::uint32_t(from) << 16U | to;
    };
    for (const RegionLink &it : m_configuration->topology.links) {
        delays[key(regionIndex(it.from), regionIndex(it.to))] = it.oneWayDelay.count();
    }
    m_nearestServingRegions.assign(m_regions.size() * MaxNearestRegions, LookupDecision::NoRegion);
    std::vector<std::pair<std::int64_t, std::uint16_t>> order;
    for (std::size_t from = 0; from < m_regions.size(); ++from) {
        order.clear();
        for (const std::uint16_t to : m_servingRegions) {
            const auto it = delays.find(key(static_cast<std::uint16_t>(from), to));
            const std::int64_t known = it == delays.end() ? UnknownDelayMs : it->second;
            order.emplace_back(from == to ? -1 : known, to);
        }
        const std::size_t n = std::min(order.size(), MaxNearestRegions);
        std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n),
                          order.end());
        for (std::size_t i = 0; i < n; ++i) {
            m_nearestServingRegions[from * MaxNearestRegions + i] = order[i].second;
        }
    }
}

void LookupDecider::setWeights(const Weights &weights, PlanVersion plan)
{
    m_plan = plan;
    m_services.clear();
    m_weightedRegions.clear();
    m_rows.assign(m_configuration->services.size() * m_regions.size(), Row{});
    std::uint32_t first = 0;
    for (const auto &[service, settings] : m_configuration->services) {
        m_services.emplace(service, first);
        const auto rows = weights.find(service);
        if (rows != weights.end()) {
            for (const auto &[caller, row] : rows->second) {
                const std::uint16_t index = regionIndex(caller);
                if (index == LookupDecision::NoRegion) {
                    continue;
                }
                Row &tableRow = m_rows[first + index];
                tableRow.begin = static_cast<std::uint32_t>(m_weightedRegions.size());
                for (const auto &[region, share] : row) {
                    const std::uint16_t serving = regionIndex(region);
                    if (serving != LookupDecision::NoRegion && share.partsPerMillion > 0) {
                        m_weightedRegions.push_back({ serving, static_cast<float>(share.ratio()) });
                    }
                }
                tableRow.count =
                        static_cast<std::uint32_t>(m_weightedRegions.size()) - tableRow.begin;
            }
        }
        first += static_cast<std::uint32_t>(m_regions.size());
    }
}

void LookupDecider::locateCaller(std::uint32_t address, LookupDecision &decision) const
{
    const std::optional<ClientBlockIndex::Match> match = m_blocks->find(address);
    decision.matchedBlock = match.has_value();
    decision.callerRegion = m_defaultRegion;
    if (match) {
        decision.block = *match;
        decision.callerRegion = match->site;
    }
}

std::uint16_t LookupDecider::chooseRegion(const Row &row, std::uint16_t callerRegion,
                                          std::uint64_t callerHash,
                                          std::uint16_t excludedRegion) const
{
    std::uint16_t best = LookupDecision::NoRegion;
    double bestScore = 0;
    for (std::uint32_t i = row.begin; i < row.begin + row.count; ++i) {
        const WeightedRegion &choice = m_weightedRegions[i];
        if (choice.region == excludedRegion) {
            continue;
        }
        const double score = rendezvousScore(callerHash, m_regionTables[choice.region].hash,
                                             double(choice.weight));
        if (best == LookupDecision::NoRegion || score < bestScore) {
            best = choice.region;
            bestScore = score;
        }
    }
    if (best == LookupDecision::NoRegion && callerRegion < m_regions.size()) {
        const std::size_t first = callerRegion * MaxNearestRegions;
        best = m_nearestServingRegions[first] == excludedRegion ? m_nearestServingRegions[first + 1]
                                                                : m_nearestServingRegions[first];
    }
    return best;
}

std::uint16_t LookupDecider::bestEntry(const Domain &domain, std::uint64_t callerHash,
                                       const EntryStates &states,
                                       const LookupDecision &decision) const
{
    std::uint16_t best = NoEntry;
    std::uint64_t bestHash = 0;
    const auto *listed = decision.entries.data();
    for (std::uint16_t i = domain.firstEntry; i < domain.firstEntry + domain.entryCount; ++i) {
        if (states[i] != EntryState::Live
            || std::find(listed, listed + decision.entryCount, i) != listed + decision.entryCount) {
            continue;
        }
        const std::uint64_t hash = rendezvousHash(callerHash, m_entryHashes[i]);
        if (best == NoEntry || hash > bestHash) {
            best = i;
            bestHash = hash;
        }
    }
    return best;
}

void LookupDecider::appendRegionEntries(std::uint16_t region, std::uint64_t callerHash,
                                        const EntryStates &states, std::size_t limit,
                                        LookupDecision &decision) const
{
    const RegionTable &table = m_regionTables[region];
    // The domains are visited in descending order of their hash for this caller. Each pass over the
    // domains appends one entry of each, so that the first entries are in different domains. The
    // next domain is searched each time, because a sorted list would have to be allocated.
    bool found = true;
    while (found && decision.entryCount < limit) {
        found = false;
        bool bounded = false;
        std::uint64_t bound = 0;
        for (std::uint32_t pass = 0; pass < table.domainCount && decision.entryCount < limit;
             ++pass) {
            const Domain *next = nullptr;
            std::uint64_t nextHash = 0;
            for (std::uint32_t i = 0; i < table.domainCount; ++i) {
                const Domain &domain = m_domains[table.firstDomain + i];
                const std::uint64_t hash = rendezvousHash(callerHash, domain.hash);
                if ((!bounded || hash < bound) && (next == nullptr || hash > nextHash)) {
                    next = &domain;
                    nextHash = hash;
                }
            }
            if (next == nullptr) {
                break;
            }
            bounded = true;
            bound = nextHash;
            const std::uint16_t entry = bestEntry(*next, callerHash, states, decision);
            if (entry != NoEntry) {
                decision.entries[decision.entryCount++] = entry;
                found = true;
            }
        }
    }
}

void LookupDecider::appendAlternative(const Row &row, std::uint64_t callerHash,
                                      const EntryStates &states, LookupDecision &decision) const
{
    const std::uint16_t second =
            chooseRegion(row, decision.callerRegion, callerHash, decision.servingRegion);
    const std::size_t limit = decision.entryCount + std::size_t(1);
    if (second != LookupDecision::NoRegion) {
        appendRegionEntries(second, callerHash, states, limit, decision);
    }
    const std::size_t first = decision.callerRegion * MaxNearestRegions;
    for (std::size_t i = first; i < first + MaxNearestRegions && decision.entryCount < limit; ++i) {
        const std::uint16_t region = m_nearestServingRegions[i];
        if (region != LookupDecision::NoRegion && region != decision.servingRegion) {
            appendRegionEntries(region, callerHash, states, limit, decision);
        }
    }
}

LookupDecision LookupDecider::decide(const ServiceId &service, std::uint32_t address,
                                     std::uint64_t callerHash, const EntryStates &states) const
{
    LookupDecision decision;
    const auto it = m_services.find(service);
    if (it == m_services.end()) {
        return decision;
    }
    decision.outcome = LookupOutcome::NoUsableEntry;
    locateCaller(address, decision);
    if (decision.callerRegion >= m_regions.size() || states.size() != m_entries.size()) {
        return decision;
    }
    const Row &row = m_rows[it->second + decision.callerRegion];
    decision.servingRegion =
            chooseRegion(row, decision.callerRegion, callerHash, LookupDecision::NoRegion);
    if (decision.servingRegion == LookupDecision::NoRegion) {
        return decision;
    }
    appendRegionEntries(decision.servingRegion, callerHash, states, LookupDecision::MaxEntries - 1,
                        decision);
    if (decision.entryCount > 0) {
        decision.outcome = LookupOutcome::Decided;
        appendAlternative(row, callerHash, states, decision);
    }
    return decision;
}

std::uint16_t LookupDecider::servingRegion(const ServiceId &service, std::uint16_t callerRegion,
                                           std::uint64_t callerHash) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end() || callerRegion >= m_regions.size()) {
        return LookupDecision::NoRegion;
    }
    return chooseRegion(m_rows[it->second + callerRegion], callerRegion, callerHash,
                        LookupDecision::NoRegion);
}

LookupExplanation LookupDecider::explain(const ServiceId &service, std::uint32_t address,
                                         std::uint64_t callerHash, const EntryStates &states) const
{
    const LookupDecision decision = decide(service, address, callerHash, states);
    LookupExplanation explanation;
    explanation.generation = m_configuration->generation;
    explanation.plan = m_plan;
    explanation.service = service;
    explanation.outcome = decision.outcome;
    if (decision.outcome == LookupOutcome::UnknownService
        || decision.callerRegion >= m_regions.size()) {
        return explanation;
    }
    if (decision.matchedBlock) {
        explanation.block = blockText(decision.block);
    }
    explanation.callerRegion = m_regions[decision.callerRegion];
    const Row &row = m_rows[m_services.at(service) + decision.callerRegion];
    explanation.fromPlan = row.count > 0;
    for (std::uint32_t i = row.begin; i < row.begin + row.count; ++i) {
        const WeightedRegion &choice = m_weightedRegions[i];
        const double weight = double(choice.weight);
        explanation.candidates.push_back(
                { m_regions[choice.region], Share{ std::llround(weight * 1e6) },
                  rendezvousScore(callerHash, m_regionTables[choice.region].hash, weight) });
    }
    if (decision.servingRegion != LookupDecision::NoRegion) {
        explanation.servingRegion = m_regions[decision.servingRegion];
    }
    const auto *end = decision.entries.data() + decision.entryCount;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const auto *it = std::find(decision.entries.data(), end, i);
        const std::size_t position =
                it == end ? 0 : static_cast<std::size_t>(it - decision.entries.data()) + 1;
        if (m_entries[i].region == decision.servingRegion || position > 0) {
            explanation.entries.push_back(
                    { m_entries[i].seat.id, m_entries[i].domain, m_regions[m_entries[i].region],
                      i < states.size() ? states[i] : EntryState::Unreachable, position });
        }
    }
    return explanation;
}

ByteCount LookupDecider::memory() const
{
    return ByteCount{ m_regionTables.capacity() * sizeof(RegionTable)
                      + m_domains.capacity() * sizeof(Domain)
                      + m_entries.capacity() * (sizeof(Entry) + sizeof(std::uint64_t))
                      + m_nearestServingRegions.capacity() * sizeof(std::uint16_t)
                      + m_rows.capacity() * sizeof(Row)
                      + m_weightedRegions.capacity() * sizeof(WeightedRegion) };
}

} // namespace Tarragon
