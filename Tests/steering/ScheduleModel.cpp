#include "ScheduleModel.h"

#include "SteeringFixture.h"
#include "base/Digest.h"
#include "steering/ConfiguredWeights.h"
#include "steering/WeightMoves.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <numeric>

namespace Tarragon::Testing {

namespace {

const ServiceId catalog("catalog");

/// Maximum delays in ticks of a plan, of an acknowledgement, and of a plan that is sent again after
/// a loss.
constexpr int MaxPlanDelay = 10;
constexpr int MaxAcknowledgementDelay = 5;
constexpr int MaxResendDelay = 30;

/// Maximum time in ticks until an entry detects the loss or return of a region.
constexpr int MaxDetectionDelay = 6;

/// Period of the variation of a region's load, and its amplitude relative to the base load.
constexpr double LoadPeriodSeconds = 120;
constexpr double LoadAmplitude = 0.04;

/// Allowance for rounding errors of computed values, relative to the limit.
constexpr double Tolerance = 1e-6;

/// Distinguishes the random numbers drawn for the same tick and entry.
enum Purpose : std::uint32_t {
    PlanDelay,
    PlanLoss,
    AckDelay,
    AckLoss,
    Detection,
    Peer,
    Report,
    Read
};

} // namespace

ScheduleModel::ScheduleModel(unsigned seed, ScheduleOptions options, SchedulePolicy policy)
    : m_seed(seed)
    , m_options(options)
    , m_policy(policy)
    , m_random(seed)
{
    makeConfiguration();
    makeSchedule();
}

int ScheduleModel::random(int low, int high)
{
    return low + static_cast<int>(m_random() % static_cast<unsigned>(high - low + 1));
}

ScheduleModel::Span ScheduleModel::randomSpan(int minLength, int maxLength)
{
    const int begin = random(10, Ticks - 30);
    return { begin, begin + random(minLength, maxLength) };
}

void ScheduleModel::makeConfiguration()
{
    Configuration base = threeRegions();
    for (auto &[id, domain] : base.topology.domains) {
        domain.entries.resize(1);
    }
    m_cap.partsPerMillion = std::int64_t(random(20, 120)) * 1'000;
    // The caps of both directions of a pair are equal, because callers that change between two
    // entries whose plans differ by one step move in either direction.
    base.shifts = capsBetweenAll(base, m_cap, m_period);
    int tick = 0;
    while (tick < Ticks) {
        // In the first document each region serves its own callers, which fits its slots. The
        // weights of later documents are random.
        for (const auto &[caller, region] : base.topology.regions) {
            WeightRow &weights = base.services.at(catalog).weights[caller];
            weights.clear();
            if (tick == 0) {
                continue;
            }
            for (const auto &[serving, unused] : base.topology.regions) {
                weights[serving] =
                        Share{ serving == caller ? 500'000 : std::int64_t(random(0, 400)) * 1'000 };
            }
        }
        const ConfigurationPtr document = std::make_shared<const Configuration>(base);
        m_configurations[tick] = document;
        m_makers[tick] = std::make_unique<PlanMaker>(document, InstanceId("planner"));
        tick += random(40, 150);
        base.generation = base.generation.next();
    }
    base.shifts.clear();
    m_withoutCaps = std::make_shared<const Configuration>(base);
}

void ScheduleModel::makeSchedule()
{
    const Configuration &document = *m_configurations.at(0);
    for (const auto &[id, region] : document.topology.regions) {
        m_regions.push_back(id);
    }
    for (const auto &[id, domain] : document.topology.domains) {
        Entry entry;
        entry.domain = id;
        entry.id = domain.entries.front().id;
        entry.region = static_cast<std::size_t>(
                std::find(m_regions.begin(), m_regions.end(), domain.region) - m_regions.begin());
        for (int i = random(0, 2); i > 0; --i) {
            entry.partitions.push_back(randomSpan(20, 120));
        }
        for (int i = random(0, 3); i > 0; --i) {
            entry.stops.push_back(randomSpan(1, 8));
        }
        if (random(0, 3) == 0) {
            const Span drain = randomSpan(20, 80);
            // An operator may drain a partitioned domain, but the caps of its callers are then no
            // longer guaranteed, so the schedule contains no such drain.
            const auto overlaps = [&](const Span &it) {
                return it.begin < drain.end + MaxResendDelay && drain.begin < it.end;
            };
            if (std::none_of(entry.partitions.begin(), entry.partitions.end(), overlaps)) {
                entry.drains.push_back(drain);
            }
        }
        m_entries.push_back(std::move(entry));
    }
    if (m_options.losesRegions) {
        for (int begin = random(20, 80); begin < Ticks - 30;) {
            const Span loss{ begin, begin + random(5, 150) };
            m_losses[static_cast<std::size_t>(random(0, RegionCount - 1))].push_back(loss);
            begin = loss.end + random(2, 60);
        }
    }
    for (double &it : m_baseLoad) {
        it = random(30, 85);
    }
    for (std::size_t region = 0; region < RegionCount; ++region) {
        for (std::size_t first = 0; first < EntryCount; ++first) {
            CallerGroup callers;
            callers.region = region;
            callers.weight = m_entries[first].region == region ? 0.4 : 0.05;
            callers.entries.resize(EntryCount);
            std::iota(callers.entries.begin(), callers.entries.end(), 0);
            std::shuffle(callers.entries.begin(), callers.entries.end(), m_random);
            const auto it = std::find(callers.entries.begin(), callers.entries.end(), first);
            std::rotate(callers.entries.begin(), it, it + 1);
            callers.lastLookupTick = -random(1, 3);
            m_callerGroups.push_back(std::move(callers));
        }
    }
}

std::uint32_t ScheduleModel::draw(int tick, std::size_t entry, std::uint32_t purpose) const
{
    const std::array<std::uint32_t, 3> key = { static_cast<std::uint32_t>(tick),
                                               static_cast<std::uint32_t>(entry), purpose };
    std::array<char, sizeof key> bytes{};
    std::memcpy(bytes.data(), key.data(), sizeof key);
    return static_cast<std::uint32_t>(
            stableHash(std::string_view(bytes.data(), bytes.size()), m_seed));
}

bool ScheduleModel::isLost(std::size_t region, int tick) const
{
    const auto it = m_losses.find(region);
    return it != m_losses.end()
           && std::any_of(it->second.begin(), it->second.end(),
                          [&](const Span &span) { return span.contains(tick); });
}

bool ScheduleModel::isPartitioned(const Entry &entry, int tick) const
{
    return std::any_of(entry.partitions.begin(), entry.partitions.end(),
                       [&](const Span &it) { return it.contains(tick); });
}

bool ScheduleModel::isDrained(const Entry &entry, int tick) const
{
    return std::any_of(entry.drains.begin(), entry.drains.end(),
                       [&](const Span &it) { return it.contains(tick); });
}

MonotonicTime ScheduleModel::clock(const Entry &entry, int tick) const
{
    return entry.clockStart + seconds(tick);
}

double ScheduleModel::load(std::size_t region, int tick) const
{
    const double phase = tick / LoadPeriodSeconds + static_cast<double>(region) / RegionCount;
    return m_baseLoad.at(region) * (1 + LoadAmplitude * std::sin(phase * 2 * 3.14159265));
}

const ConfigurationPtr &ScheduleModel::configuration(int tick) const
{
    return std::prev(m_configurations.upper_bound(tick))->second;
}

void ScheduleModel::startAndStop(int tick)
{
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        Entry &entry = m_entries[i];
        const bool isStopped = std::any_of(entry.stops.begin(), entry.stops.end(),
                                           [&](const Span &it) { return it.contains(tick); });
        if (isStopped || isDrained(entry, tick) || isLost(entry.region, tick)) {
            entry.isUp = false;
            entry.weights.reset();
            entry.gate.reset();
            entry.plans.clear();
            entry.acknowledgements.clear();
            entry.lost.clear();
            continue;
        }
        if (entry.isUp || (tick > 0 && isPartitioned(entry, tick))) {
            continue;
        }
        std::vector<const Entry *> peers;
        for (const Entry &it : m_entries) {
            if (it.isUp && &it != &entry && !isPartitioned(it, tick)) {
                peers.push_back(&it);
            }
        }
        const ConfigurationPtr document = m_policy.hasLimiter ? configuration(tick) : m_withoutCaps;
        entry.clockStart = MonotonicTime(seconds(draw(tick, i, Detection) % 1'000'000));
        entry.weights = std::make_unique<AppliedWeights>(document);
        entry.gate = std::make_unique<PlanStepGate>(PlanStepGate::holdTime(*configuration(tick)));
        if (!peers.empty()) {
            const Entry &peer = *peers[draw(tick, i, Peer) % peers.size()];
            entry.weights->start(peer.weights->weights(), peer.weights->failover(),
                                 clock(entry, tick));
            entry.weights->setPlan(peer.weights->plan());
        } else {
            entry.weights->start(m_plans.empty() ? configuredWeights(*document)
                                                 : m_plans.back()->weights,
                                 RegionId(), clock(entry, tick));
        }
        if (!m_plans.empty()) {
            entry.plans.emplace(tick + 1, m_plans.back());
        }
        entry.start = ++m_starts;
        entry.isUp = true;
    }
}

void ScheduleModel::deliver(int tick)
{
    const bool isNewDocument = tick > 0 && m_configurations.count(tick) > 0;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        Entry &entry = m_entries[i];
        if (!entry.isUp) {
            continue;
        }
        if (isNewDocument && m_policy.hasLimiter) {
            entry.weights->setConfiguration(configuration(tick));
        }
        // Messages to a partitioned entry are lost; the newest plan is sent again later.
        const bool isCutOff = isPartitioned(entry, tick);
        while (!entry.plans.empty() && entry.plans.begin()->first <= tick) {
            const PlanPtr plan = entry.plans.begin()->second;
            entry.plans.erase(entry.plans.begin());
            if (isCutOff) {
                entry.plans.emplace(tick + 1 + int(draw(tick, i, PlanDelay) % MaxResendDelay),
                                    m_plans.back());
            } else {
                entry.weights->setPlan(plan);
            }
        }
        while (!entry.acknowledgements.empty() && entry.acknowledgements.begin()->first <= tick) {
            const Acknowledgement &it = entry.acknowledgements.begin()->second;
            // The membership ignores messages of earlier incarnations.
            if (!isCutOff && it.start >= m_entries[it.entry].start) {
                entry.gate->acknowledge(m_entries[it.entry].id,
                                        Incarnation(static_cast<std::uint64_t>(it.start)),
                                        it.version, clock(entry, tick));
            }
            entry.acknowledgements.erase(entry.acknowledgements.begin());
        }
        for (std::size_t region = 0; region < RegionCount; ++region) {
            const int delay = 1 + int(draw(tick, i, Detection) % MaxDetectionDelay);
            if (region == entry.region) {
                continue;
            }
            // A partitioned entry does not treat other regions as lost: most other entries are
            // unreachable for it, which the membership takes for a fault of its own view.
            if (isCutOff) {
                entry.lost.erase(m_regions[region]);
                continue;
            }
            if (isLost(region, tick) && isLost(region, tick - delay)) {
                entry.lost.insert(m_regions[region]);
            } else if (!isLost(region, tick) && !isLost(region, tick - delay)) {
                entry.lost.erase(m_regions[region]);
            }
        }
        entry.weights->setLostRegions(entry.lost);
        entry.weights->advance(clock(entry, tick));

        const PlanVersion applied = entry.weights->fullyApplied();
        for (std::size_t k = 0; k < m_entries.size(); ++k) {
            if (k == i) {
                entry.gate->acknowledge(entry.id,
                                        Incarnation(static_cast<std::uint64_t>(entry.start)),
                                        applied, clock(entry, tick));
            } else if (!isCutOff && m_entries[k].isUp
                       && draw(tick, i * EntryCount + k, AckLoss) % 5 > 0) {
                const int delay =
                        1 + int(draw(tick, i * EntryCount + k, AckDelay) % MaxAcknowledgementDelay);
                m_entries[k].acknowledgements.emplace(tick + delay,
                                                      Acknowledgement{ i, entry.start, applied });
            }
        }
    }
}

PlanMaker::Input ScheduleModel::planInput(int tick) const
{
    PlanMaker::Input input;
    for (std::size_t region = 0; region < RegionCount; ++region) {
        const int age = int(draw(tick / 7, region, Report) % 40);
        input.loads[catalog][m_regions[region]] = { load(region, tick - age), Mbps{ 10 },
                                                    seconds(age) };
        if (!isLost(region, tick)) {
            input.slots[catalog][m_regions[region]] = SlotsPerRegion;
        }
    }
    input.now = std::chrono::sys_days(std::chrono::year(2026) / 1 / 15) + seconds(tick);
    return input;
}

void ScheduleModel::plan(int tick)
{
    // A lost region cannot be distinguished from a partitioned one, so acknowledgements of its
    // domains are required as well.
    std::map<FailureDomainId, std::set<InstanceId>> required;
    for (const Entry &it : m_entries) {
        if (!isDrained(it, tick)) {
            required[it.domain].insert(it.id);
        }
    }
    // The planner changes every 30 s. It reads the plan in force with a delay, and the store
    // accepts the next plan only if the plan that the planner has read is still the one in force.
    const std::size_t planner = draw(tick / 30, 0, Peer) % EntryCount;
    const int readDelay = int(draw(tick, 0, Read) % 4);
    std::size_t known = m_plans.size();
    while (known > 0 && m_planTicks[known - 1] > tick - readDelay) {
        --known;
    }
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        Entry &entry = m_entries[i];
        if (!entry.isUp || isPartitioned(entry, tick)) {
            continue;
        }
        entry.gate->setRequired(required);
        entry.gate->setPlan(known > 0 ? m_plans[known - 1]->version : PlanVersion());
        const bool mayStep = entry.gate->mayStep(clock(entry, tick)) || !m_policy.hasGate;
        if (i != planner || !mayStep || known != m_plans.size()) {
            continue;
        }
        PlanMaker::Input input = planInput(tick);
        input.current = known > 0 ? m_plans[known - 1].get() : nullptr;
        input.applied = entry.weights->weights();
        PlanMaker::Result result = std::prev(m_makers.upper_bound(tick))->second->next(input);
        if (!result.isChanged) {
            continue;
        }
        if (!m_policy.checksFailover) {
            for (auto &[lost, weights] : result.plan.failover) {
                for (auto &[caller, row] : weights[catalog]) {
                    const WeightRow &normal = result.plan.weights.at(catalog).at(caller);
                    row = normal;
                    const std::int64_t share = row[lost].partsPerMillion;
                    row.erase(lost);
                    row[m_regions[lost == m_regions[0] ? 1 : 0]].partsPerMillion += share;
                }
            }
        }
        publish(std::make_shared<const Plan>(std::move(result.plan)), tick);
    }
}

void ScheduleModel::publish(const PlanPtr &plan, int tick)
{
    m_plans.push_back(plan);
    m_planTicks.push_back(tick);
    ++m_result.planSteps;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const bool isLate = draw(tick, i, PlanLoss) % 5 == 0;
        const int delay = int(draw(tick, i, PlanDelay) % (isLate ? MaxResendDelay : MaxPlanDelay));
        m_entries[i].plans.emplace(tick + 1 + delay, plan);
    }
}

ScheduleModel::Shares ScheduleModel::sharesOf(const Entry &entry, std::size_t callerRegion) const
{
    Shares shares(RegionCount);
    const WeightRow &row = entry.weights->weights().at(catalog).at(m_regions[callerRegion]);
    for (std::size_t i = 0; i < RegionCount; ++i) {
        shares[i] = shareOf(row, m_regions[i]).ratio();
    }
    return shares;
}

void ScheduleModel::recordWorst(double &worst, double value, int tick, const std::string &what)
{
    worst = std::max(worst, value);
    if (value > 1 + Tolerance && m_result.finding.empty()) {
        m_result.finding = "seed " + std::to_string(m_seed) + ", tick " + std::to_string(tick)
                           + ": " + what + " at " + std::to_string(value) + " of what is allowed";
    }
}

void ScheduleModel::lookUp(int tick)
{
    const int ttl = 2;
    const int period = static_cast<int>(m_period.count());
    for (CallerGroup &callers : m_callerGroups) {
        while (!callers.used.empty() && callers.used.front().lastTick < tick - period) {
            callers.used.pop_front();
        }
        if (callers.hasResponse && tick - callers.lastLookupTick <= ttl) {
            callers.used.back().lastTick = tick;
            continue;
        }
        callers.lastLookupTick = tick;
        const auto it = std::find_if(callers.entries.begin(), callers.entries.end(),
                                     [&](std::size_t i) { return m_entries[i].isUp; });
        callers.hasResponse = it != callers.entries.end();
        if (!callers.hasResponse) {
            continue;
        }
        const Entry &entry = m_entries[*it];
        UsedShares next{ sharesOf(entry, callers.region), entry.start, tick, {} };
        const bool isNew = callers.used.empty() || callers.used.back().shares != next.shares
                           || callers.used.back().entryStart != next.entryStart;
        if (isNew) {
            callers.used.push_back(std::move(next));
        }
        callers.used.back().lastTick = tick;
        if (!isNew) {
            continue;
        }
        for (UsedShares &before : callers.used) {
            for (std::size_t from = 0; from < RegionCount; ++from) {
                for (std::size_t to = 0; to < RegionCount; ++to) {
                    const double moved =
                            movedShare(before.shares, callers.used.back().shares, from, to);
                    before.moves.at(from * RegionCount + to) = moved;
                    const bool isSameEntry = before.entryStart == callers.used.back().entryStart;
                    if (isSameEntry || !m_options.losesRegions) {
                        recordWorst(m_result.worstEntryMove, moved / m_cap.ratio(), tick,
                                    "move of an entry's callers");
                    }
                }
            }
        }
    }
}

void ScheduleModel::checkRegionMoves(int tick)
{
    const int period = static_cast<int>(m_period.count());
    for (std::size_t region = 0; region < RegionCount; ++region) {
        for (int before = std::max(tick - period, 0); before < tick; ++before) {
            std::array<double, RegionCount * RegionCount> moves{};
            for (const CallerGroup &callers : m_callerGroups) {
                if (callers.region != region || !callers.hasResponse) {
                    continue;
                }
                const auto it = std::find_if(
                        callers.used.begin(), callers.used.end(),
                        [&](const UsedShares &used) { return used.lastTick >= before; });
                for (std::size_t i = 0; i < moves.size(); ++i) {
                    moves.at(i) += callers.weight * it->moves.at(i);
                }
            }
            const double worst = *std::max_element(moves.begin(), moves.end());
            recordWorst(m_result.worstRegionMove, worst / m_cap.ratio(), tick,
                        "move of the callers of " + m_regions[region].value());
        }
    }
}

void ScheduleModel::checkLoad(int tick)
{
    std::array<double, RegionCount> loads{};
    for (const CallerGroup &callers : m_callerGroups) {
        if (callers.hasResponse) {
            for (std::size_t i = 0; i < RegionCount; ++i) {
                loads.at(i) +=
                        load(callers.region, tick) * callers.weight * callers.used.back().shares[i];
            }
        }
    }
    for (std::size_t i = 0; i < RegionCount; ++i) {
        // Requests for a lost region are refused before they reach it.
        if (!isLost(i, tick)) {
            recordWorst(m_result.worstLoad, loads.at(i) / SlotsPerRegion, tick,
                        "load of " + m_regions[i].value());
        }
    }
}

ScheduleResult ScheduleModel::run()
{
    for (int tick = 0; tick < Ticks; ++tick) {
        startAndStop(tick);
        plan(tick);
        deliver(tick);
        lookUp(tick);
        checkRegionMoves(tick);
        checkLoad(tick);
    }
    return m_result;
}

} // namespace Tarragon::Testing
