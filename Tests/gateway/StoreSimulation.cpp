#include "StoreSimulation.h"

#include "gateway/GatewaySettings.h"
#include "gateway/KindSubscriptionTemplate.h"
#include "gateway/StoreRelayTemplate.h"
#include "gateway/TargetFeed.h"
#include "platform/RegistryDecoder.h"
#include "platform/RouteTableDecoder.h"

#include <capnp/message.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Tarragon {

namespace {

constexpr std::size_t DomainCount = 6;
constexpr std::size_t RegionCount = 3;
/// One-way delays to the store, which stands in the first region, and between entries of a domain.
constexpr microseconds StoreDelayInRegion{ 3'500 };
constexpr microseconds StoreDelayBetweenRegions{ 20'000 };
constexpr microseconds NeighbourDelay{ 100 };
constexpr microseconds GossipPeriod{ 400'000 };
/// As in GatewayDaemon.
constexpr microseconds TickPeriod{ 100'000 };
constexpr SubscriptionOptions TargetOptions{ milliseconds(500), true, false, true };
constexpr SubscriptionOptions OperatorOptions{ milliseconds(300), true, false, true };
/// Period of the checks. Callers send requests at any time.
constexpr microseconds AuditPeriod{ 20'000 };
constexpr microseconds CopyPeriod{ 500'000 };
/// Time after the return of the store until the operator writes again.
constexpr microseconds OperatorRewriteDelay{ 200'000 };
constexpr microseconds HeartbeatPeriod{ 1'500'000 };
constexpr microseconds RegistrationExpiry{ 4'500'000 };
/// All processes of a deployment start within this time of each other.
constexpr microseconds StartSpread{ 300'000 };
/// Time from the start of a process until it knows the registered entries.
constexpr microseconds RegistrationsDelay{ 300'000 };
/// Start of all processes until the checks begin.
constexpr microseconds StartUpTime = seconds(8);

std::string numbered(const char *prefix, std::size_t number)
{
    return prefix + std::to_string(number);
}

EntryRecord recordOf(std::size_t entry, std::uint64_t incarnation)
{
    const std::size_t domain = entry % DomainCount;
    EntryRecord record;
    record.instance = InstanceId(numbered("e", entry));
    record.domain = FailureDomainId(numbered("d", domain));
    record.region = RegionId(numbered("r", domain % RegionCount));
    record.incarnation = Incarnation(incarnation);
    return record;
}

/// Number of versions for which a route that a version has added stays.
constexpr std::uint64_t RouteLifetime = 3;
constexpr const char *RouteHost = "stand.example";

std::string routePath(std::uint64_t version)
{
    return "/added-by-" + std::to_string(version) + "/";
}

/// Returns a desired state that adds a route, and drops the one that the version RouteLifetime
/// before has added.
nlohmann::json desiredState(std::uint64_t version)
{
    nlohmann::json rows = nlohmann::json::array();
    for (std::uint64_t it = version - std::min(version, RouteLifetime) + 1; it <= version; ++it) {
        rows.push_back({ "route" + std::to_string(it), RouteHost, routePath(it), "safe", 1.5, 0.3,
                         "service0" });
    }
    return { { "version", "r" + std::to_string(version) },
             { "routes",
               { { "columns",
                   { "name", "host", "path_prefix", "kind", "timeout_s", "target_latency_s",
                     "service" } },
                 { "rows", rows } } },
             { "services",
               { { "columns", { "name" } },
                 { "rows", nlohmann::json::array({ nlohmann::json::array({ "service0" }) }) } } } };
}

GatewaySettings settingsOf(const EntryRecord &record)
{
    GatewaySettings settings;
    settings.instance = record.instance;
    settings.domain = record.domain;
    settings.region = record.region;
    return settings;
}

std::string secondsText(microseconds time)
{
    return std::to_string(inSeconds(time)) + " s";
}

} // namespace

StoreSimulation::Process::Process(StoreSimulation &simulation, std::size_t entry,
                                  std::uint64_t seed)
    : loop(simulation.m_schedule)
    , client(loop, simulation.m_store, simulation.delayTo(entry),
             simulation.m_scenario.callLossRatio, seed)
    , membership(simulation.m_entries[entry].record, seed)
    , state(settingsOf(simulation.m_entries[entry].record), GatewayBounds{})
    , targets(loop, client, health, Platform::TargetKind,
              { [this](const std::vector<Platform::StoredItem> &items) {
                   applyTargetSnapshot(registry, items, loop.now(), targets.changesMadeAfter(),
                                       targets.isRestored());
               },
                [this](const std::vector<Platform::StoredChange> &changes) {
                    applyTargetChanges(registry, changes, loop.now(), targets.changesMadeAfter());
                } },
              seed, TargetOptions)
    , desiredState(loop, client, health, Platform::DesiredStateKind,
                   { [this](const std::vector<Platform::StoredItem> &items) {
                        for (const Platform::StoredItem &it : items) {
                            adopt(it);
                        }
                    },
                     [this](const std::vector<Platform::StoredChange> &changes) {
                         for (const Platform::StoredChange &it : changes) {
                             if (!it.isRemoval) {
                                 adopt(it.item);
                             }
                         }
                     } },
                   seed + 1, OperatorOptions)
    , evacuations(loop, client, health, Platform::EvacuationKind,
                  { [this](const std::vector<Platform::StoredItem> &items) {
                       evacuated.clear();
                       for (const Platform::StoredItem &it : items) {
                           evacuated.insert(it.name);
                       }
                   },
                    [this](const std::vector<Platform::StoredChange> &changes) {
                        for (const Platform::StoredChange &it : changes) {
                            evacuated.insert(it.item.name);
                        }
                    } },
                  seed + 2, OperatorOptions)
    , relay(
              loop, membership, health, client,
              [&simulation, entry](const InstanceId &watcher, milliseconds timeout,
                                   const Relay::FillSlot &fill, const Relay::ReplySlot &onReply) {
                  simulation.askWatcher(entry, watcher, timeout, fill, onReply);
              },
              simulation.m_schedule.now() == microseconds(0))
{
    health.becameUnavailable().connect(
            [this](const std::string &) { registry.onStoreUnavailable(loop.now()); });
    health.becameAvailable().connect(
            [this] { registry.onStoreAvailable(loop.now(), health.lastFailureBeganAt()); });
}

void StoreSimulation::Process::adopt(const Platform::StoredItem &item)
{
    state.adopt(Platform::decodeRouteTable(item.spec));
}

std::uint64_t StoreSimulation::Process::version() const
{
    return state.table() == nullptr ? 0 : state.table()->version.value();
}

StoreSimulation::StoreSimulation(const StoreScenario &scenario)
    : m_scenario(scenario)
    , m_random(scenario.seed)
    , m_store(m_schedule)
{
    for (std::size_t i = 0; i < scenario.targetCount; ++i) {
        m_targetSpecs.push_back({ { "service", numbered("service", i % 3) },
                                  { "address", "127.0.0.1:" + std::to_string(8'000 + i) },
                                  { "zone", numbered("d", i % DomainCount) },
                                  { "version", "v1" },
                                  { "slots", 6 },
                                  { "state", "ready" },
                                  { "cold_remaining_s", 0 },
                                  { "seq", 1 },
                                  { "born", 1'000'000 + i } });
        m_store.put(Platform::TargetKind, numbered("t", i), m_targetSpecs.back());
    }
    changeDesiredState();
    for (std::size_t i = 0; i < scenario.entryCount; ++i) {
        m_entries.push_back(Entry{ recordOf(i, 1), nullptr, microseconds(0), std::nullopt });
        m_indices.emplace(m_entries.back().record.instance, i);
    }
    for (std::size_t i = 0; i < scenario.entryCount; ++i) {
        start(i);
    }
}

StoreSimulation::~StoreSimulation() = default;

void StoreSimulation::at(microseconds time, const std::function<void()> &action)
{
    m_schedule.after(time - m_schedule.now(), action);
}

void StoreSimulation::run()
{
    copyStore();
    m_schedule.after(StartUpTime, [this] { audit(); });
    while (m_schedule.step(m_scenario.duration)) {
    }
}

microseconds StoreSimulation::delayTo(std::size_t entry) const
{
    return entry % DomainCount % RegionCount == 0 ? StoreDelayInRegion : StoreDelayBetweenRegions;
}

void StoreSimulation::start(std::size_t entry)
{
    Entry &state = m_entries[entry];
    state.process = std::make_unique<Process>(*this, entry, m_random());
    Process &process = *state.process;
    const microseconds delay{ std::uniform_int_distribution<std::int64_t>(0, StartSpread.count())(
            m_random) };
    process.loop.run(delay, [this, entry, &process] { begin(entry, process); });
}

void StoreSimulation::begin(std::size_t entry, Process &process)
{
    process.relay.add(process.targets);
    process.relay.add(process.desiredState);
    process.relay.add(process.evacuations);
    process.targets.start();
    process.desiredState.start();
    process.evacuations.start();
    process.hasBegun = true;
    process.tick = process.loop.scheduleEvery(
            TickPeriod, [&process] { process.registry.removeExpired(process.loop.now()); });
    process.gossip = process.loop.scheduleEvery(GossipPeriod, [this, entry] { gossip(entry); });
    process.loop.run(RegistrationsDelay, [this, &process] {
        std::vector<EntryRecord> records;
        std::transform(m_entries.begin(), m_entries.end(), std::back_inserter(records),
                       [](const Entry &it) { return it.record; });
        process.membership.setRecords(records);
        process.relay.start();
        process.hasRelayStarted = true;
    });
}

void StoreSimulation::gossip(std::size_t entry)
{
    for (const InstanceId &it : m_entries[entry].process->membership.beginGossipRound()) {
        if (!canExchange(entry, indexOf(it))) {
            continue;
        }
        Process &mine = *m_entries[entry].process;
        const std::vector<GossipMemberState> states = mine.membership.memberStates(mine.loop.now());
        Process &theirs = *m_entries[indexOf(it)].process;
        theirs.loop.run(NeighbourDelay, [&mine, &theirs, states, life = mine.loop.lifetime()] {
            theirs.membership.merge(states, theirs.loop.now());
            if (life.expired()) {
                return;
            }
            const std::vector<GossipMemberState> reply =
                    theirs.membership.memberStates(theirs.loop.now());
            mine.loop.run(NeighbourDelay,
                          [&mine, reply] { mine.membership.merge(reply, mine.loop.now()); });
        });
    }
}

void StoreSimulation::askWatcher(std::size_t entry, const InstanceId &watcher, milliseconds timeout,
                                 const Relay::FillSlot &fill, const Relay::ReplySlot &onReply)
{
    Process &mine = *m_entries[entry].process;
    Process &theirs = *m_entries[indexOf(watcher)].process;
    using Message = capnp::MallocMessageBuilder;
    const std::shared_ptr<Message> question = std::make_shared<Message>();
    fill(question->initRoot<PeerRpc::Peer::RelayParams>());
    const std::shared_ptr<bool> hasEnded = std::make_shared<bool>(false);
    mine.loop.run(timeout, [hasEnded, onReply] {
        if (!std::exchange(*hasEnded, true)) {
            onReply(nullptr);
        }
    });
    if (m_schedule.now() < m_entries[entry].neighboursSilentUntil
        || !canExchange(entry, indexOf(watcher))) {
        return;
    }
    theirs.loop.run(NeighbourDelay, [&mine, &theirs, question, hasEnded, onReply,
                                     life = mine.loop.lifetime()] {
        if (life.expired()) {
            return;
        }
        const std::shared_ptr<Message> answer = std::make_shared<Message>();
        theirs.relay.fillReply(question->getRoot<PeerRpc::Peer::RelayParams>().asReader(),
                               answer->initRoot<PeerRpc::Peer::RelayResults>());
        mine.loop.run(NeighbourDelay, [answer, hasEnded, onReply] {
            if (!std::exchange(*hasEnded, true)) {
                const PeerRpc::Peer::RelayResults::Reader reply =
                        answer->getRoot<PeerRpc::Peer::RelayResults>().asReader();
                onReply(&reply);
            }
        });
    });
}

void StoreSimulation::drain(std::size_t target)
{
    m_targetSpecs[target]["state"] = "draining";
    m_targetSpecs[target]["seq"] = m_targetSpecs[target]["seq"].get<int>() + 1;
    m_store.put(Platform::TargetKind, numbered("t", target), m_targetSpecs[target]);
    m_leaves.push_back(Leave{ target, m_schedule.now(), true });
}

void StoreSimulation::vanish(std::size_t target)
{
    m_store.remove(Platform::TargetKind, numbered("t", target));
    m_leaves.push_back(Leave{ target, m_schedule.now(), false });
}

void StoreSimulation::applyWriteFromBeforeDraining(std::size_t target)
{
    nlohmann::json spec = m_targetSpecs[target];
    spec["state"] = "ready";
    spec["seq"] = spec["seq"].get<int>() - 1;
    m_store.put(Platform::TargetKind, numbered("t", target), spec);
}

void StoreSimulation::changeDesiredState()
{
    const std::uint64_t version = m_versions.empty() ? 1 : m_versions.back().first + 1;
    m_store.put(Platform::DesiredStateKind, Platform::DesiredStateName, desiredState(version));
    m_versions.emplace_back(version, m_schedule.now());
}

void StoreSimulation::evacuate()
{
    const std::string domain = numbered("d", m_evacuations.size() + DomainCount);
    m_store.put(Platform::EvacuationKind, domain, nlohmann::json::object());
    m_evacuations.emplace(domain, m_schedule.now());
}

void StoreSimulation::disturb(const std::set<std::size_t> &entries, StorePath path,
                              microseconds duration)
{
    for (const std::size_t it : entries) {
        m_entries[it].process->client.setPath(path);
        m_entries[it].troubledUntil =
                std::max(m_entries[it].troubledUntil, m_schedule.now() + duration);
    }
    m_schedule.after(duration, [this, entries] {
        for (const std::size_t it : entries) {
            m_entries[it].process->client.setPath(StorePath::Open);
        }
    });
}

void StoreSimulation::sever(const std::set<std::size_t> &entries, StorePath path,
                            microseconds duration)
{
    disturb(entries, path, duration);
    m_schedule.after(duration, [this, entries] {
        for (const std::size_t it : entries) {
            m_entries[it].process->client.silenceConnections();
        }
    });
}

void StoreSimulation::isolate(const std::set<std::size_t> &entries, microseconds duration)
{
    for (const std::size_t it : entries) {
        m_entries[it].isolatedUntil = m_schedule.now() + duration;
        m_entries[it].troubledUntil =
                std::max(m_entries[it].troubledUntil, m_schedule.now() + duration);
    }
}

bool StoreSimulation::canExchange(std::size_t a, std::size_t b) const
{
    return m_schedule.now() >= m_entries[a].isolatedUntil
           && m_schedule.now() >= m_entries[b].isolatedUntil;
}

void StoreSimulation::answerFromStaleCopy(microseconds duration)
{
    m_store.setStaleCopy(m_store.objects());
    m_schedule.after(duration, [this] { m_store.clearStaleCopy(); });
}

void StoreSimulation::loseNextCalls(const std::set<std::size_t> &entries)
{
    for (const std::size_t it : entries) {
        m_entries[it].process->client.loseNextCall();
    }
}

void StoreSimulation::silenceStoreConnections(const std::set<std::size_t> &entries)
{
    for (const std::size_t it : entries) {
        m_entries[it].process->client.silenceConnections();
    }
    m_storeTroubledUntil = std::max(m_storeTroubledUntil, m_schedule.now());
}

void StoreSimulation::silenceWatches(const std::set<std::size_t> &entries, const std::string &kind)
{
    for (const std::size_t it : entries) {
        m_entries[it].process->client.silenceWatches(kind);
    }
    m_storeTroubledUntil = std::max(m_storeTroubledUntil, m_schedule.now());
}

void StoreSimulation::silenceNeighbours(const std::set<std::size_t> &entries, microseconds duration)
{
    for (const std::size_t it : entries) {
        m_entries[it].neighboursSilentUntil = m_schedule.now() + duration;
        m_entries[it].troubledUntil = std::max(m_entries[it].troubledUntil, m_schedule.now());
    }
}

void StoreSimulation::disturbStore(StorePath path, microseconds duration)
{
    m_store.setPath(path);
    m_storeTroubledUntil = std::max(m_storeTroubledUntil, m_schedule.now() + duration);
    m_schedule.after(duration, [this] {
        if (m_schedule.now() >= m_storeTroubledUntil) {
            m_store.setPath(StorePath::Open);
        }
    });
}

void StoreSimulation::copyStore()
{
    m_copies.emplace(m_schedule.now(), m_store.objects());
    m_schedule.after(CopyPeriod, [this] { copyStore(); });
}

void StoreSimulation::restoreStore(microseconds copyAge, microseconds duration)
{
    const auto copy = std::prev(m_copies.upper_bound(m_schedule.now() - copyAge));
    m_schedule.after(duration, [this, contents = copy->second] {
        m_store.restore(contents);
        rewriteLostState();
    });
    // The store serves calls that waited only once it has been restored.
    disturbStore(StorePath::Silent, duration);
}

bool StoreSimulation::hasLeft(std::size_t target) const
{
    return std::any_of(m_leaves.begin(), m_leaves.end(), [target](const Leave &it) {
        return it.target == target && !it.isAnnounced;
    });
}

void StoreSimulation::rewriteLostState()
{
    m_schedule.after(OperatorRewriteDelay, [this] {
        m_store.put(Platform::DesiredStateKind, Platform::DesiredStateName,
                    desiredState(m_versions.back().first));
    });
    for (std::size_t i = 0; i < m_targetSpecs.size(); ++i) {
        if (hasLeft(i)) {
            m_schedule.after(RegistrationExpiry,
                             [this, i] { m_store.remove(Platform::TargetKind, numbered("t", i)); });
            continue;
        }
        const microseconds delay{ std::uniform_int_distribution<std::int64_t>(
                0, HeartbeatPeriod.count())(m_random) };
        m_schedule.after(delay, [this, i] {
            if (!hasLeft(i)) {
                m_store.put(Platform::TargetKind, numbered("t", i), m_targetSpecs[i]);
            }
        });
    }
}

void StoreSimulation::pause(std::size_t entry, microseconds duration)
{
    m_entries[entry].process->loop.pause(duration);
    m_entries[entry].troubledUntil =
            std::max(m_entries[entry].troubledUntil, m_schedule.now() + duration);
}

void StoreSimulation::restart(std::size_t entry)
{
    m_entries[entry].troubledUntil = std::max(m_entries[entry].troubledUntil, m_schedule.now());
    start(entry);
}

std::set<std::size_t> StoreSimulation::watchingEntries() const
{
    std::set<std::size_t> result;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (m_entries[i].process->targets.source() == ChangeSource::Store) {
            result.insert(i);
        }
    }
    return result;
}

std::set<std::size_t> StoreSimulation::entriesOf(std::size_t domain) const
{
    std::set<std::size_t> result;
    for (std::size_t i = domain; i < m_entries.size(); i += DomainCount) {
        result.insert(i);
    }
    return result;
}

std::set<std::size_t> StoreSimulation::drawEntries(double fraction)
{
    std::set<std::size_t> result;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (std::bernoulli_distribution(fraction)(m_random)) {
            result.insert(i);
        }
    }
    return result;
}

bool StoreSimulation::isStoreStable() const
{
    return m_storeTroubledUntil == microseconds(0)
           || m_schedule.now() - m_storeTroubledUntil >= m_scenario.contactTime;
}

bool StoreSimulation::isInTouch(const Entry &entry) const
{
    const bool isCalm = entry.troubledUntil == microseconds(0)
                        || m_schedule.now() - entry.troubledUntil >= m_scenario.contactTime;
    return isCalm && isStoreStable();
}

void StoreSimulation::audit()
{
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        auditPendingWork(i);
        if (isInTouch(m_entries[i])) {
            auditEntry(i);
        }
    }
    m_schedule.after(AuditPeriod, [this] { audit(); });
}

void StoreSimulation::auditPendingWork(std::size_t entry)
{
    const Process &process = *m_entries[entry].process;
    if (!process.hasBegun) {
        return;
    }
    for (const Subscription *it :
         { &process.targets, &process.desiredState, &process.evacuations }) {
        if (!it->hasPendingWork()) {
            report(entry, "has neither a call nor a timer for " + it->kind());
        }
    }
    if (process.hasRelayStarted && !process.relay.hasPendingWork()) {
        report(entry, "has no timer to poll the watchers");
    }
}

void StoreSimulation::auditEntry(std::size_t entry)
{
    const Process &process = *m_entries[entry].process;
    const microseconds now = m_schedule.now();
    std::optional<microseconds> &unavailableSince = m_entries[entry].unavailableSince;
    if (!process.health.isUnavailable()) {
        unavailableSince.reset();
    } else {
        unavailableSince = unavailableSince.value_or(now);
        m_longestOutage = std::max(m_longestOutage, now - *unavailableSince);
    }
    for (const Leave &it : m_leaves) {
        const TargetId id(numbered("t", it.target));
        const auto known = process.registry.targets().find(id);
        if (known == process.registry.targets().end()
            || known->second.availability == TargetAvailability::Leaving) {
            continue;
        }
        const microseconds age = now - it.acknowledgedAt;
        m_slowestLeave = std::max(m_slowestLeave, age);
        if (age > m_scenario.drainTime) {
            report(entry, "uses " + id.value() + " although its leaving was acknowledged at "
                                  + secondsText(it.acknowledgedAt));
        }
    }
    for (const auto &[version, acknowledgedAt] : m_versions) {
        if (process.version() < version && now - acknowledgedAt > m_scenario.configTime) {
            report(entry, "acts on version " + std::to_string(process.version()) + " and not on "
                                  + std::to_string(version) + ", acknowledged at "
                                  + secondsText(acknowledgedAt));
        }
    }
    auditRoutes(entry);
    for (const auto &[domain, acknowledgedAt] : m_evacuations) {
        if (!process.evacuated.contains(domain)
            && now - acknowledgedAt > m_scenario.evacuationTime) {
            report(entry, "does not know of the evacuation of " + domain + ", acknowledged at "
                                  + secondsText(acknowledgedAt));
        }
    }
}

void StoreSimulation::auditRoutes(std::size_t entry)
{
    const RouteTablePtr table = m_entries[entry].process->state.table();
    if (table == nullptr) {
        return;
    }
    const std::uint64_t version = table->version.value();
    for (std::uint64_t it = 1; it <= version; ++it) {
        const bool isServed = table->find(RouteHost, routePath(it)) != nullptr;
        if (isServed != (it + RouteLifetime > version)) {
            report(entry, (isServed ? "serves a dropped route of version "
                                    : "does not serve the route of version ")
                                  + std::to_string(it) + " with version "
                                  + std::to_string(version));
        }
    }
}

void StoreSimulation::report(std::size_t entry, const std::string &finding)
{
    const std::string text = m_entries[entry].record.instance.value() + " " + finding;
    if (m_reported.insert(text).second) {
        m_violations.push_back(secondsText(m_schedule.now()) + ": " + text);
    }
}

} // namespace Tarragon
