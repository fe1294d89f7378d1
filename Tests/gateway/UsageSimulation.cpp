#include "UsageSimulation.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

namespace {

constexpr MonotonicTime Origin{ seconds(1'000) };
constexpr std::size_t DomainCount = 6;
constexpr microseconds MinDelay{ 500 };
constexpr microseconds MaxDelay{ 25'000 };
constexpr microseconds GossipPeriod{ 400'000 };
/// Period within which changes of registrations reach an entry.
constexpr microseconds RegistryPeriod{ 1'000'000 };
/// Time from a planned stop to the end of the process.
constexpr microseconds StopTime{ 1'200'000 };
/// Time between the starts of entries that start together.
constexpr microseconds StartSpread{ 300'000 };

std::size_t indexOf(const InstanceId &id)
{
    return std::stoul(id.value().substr(1));
}

} // namespace

int countBetween(const std::vector<microseconds> &times, microseconds begin, microseconds end)
{
    const auto first = std::lower_bound(times.begin(), times.end(), begin);
    return static_cast<int>(std::lower_bound(first, times.end(), end) - first);
}

UsageSimulation::Process::Process(EntryRecord record, std::uint64_t seed, UsageCaps::AskSlot ask)
    : membership(std::move(record), seed)
    , caps(membership, std::move(ask))
{}

UsageSimulation::UsageSimulation(std::size_t entries, std::vector<SimulatedWorkspace> workspaces,
                                 std::uint64_t seed)
    : m_random(seed)
    , m_workspaces(std::move(workspaces))
    , m_entries(entries)
{
    for (std::size_t i = 0; i < entries; ++i) {
        m_entries[i].id = InstanceId("e" + std::to_string(i));
        m_schedule.after(scaled(StartSpread, uniform()), [this, i] { start(i); });
    }
    for (std::size_t i = 0; i < m_workspaces.size(); ++i) {
        scheduleArrival(i);
    }
}

UsageSimulation::~UsageSimulation() = default;

MonotonicTime UsageSimulation::clock() const
{
    return Origin + m_schedule.now();
}

microseconds UsageSimulation::delay()
{
    return MinDelay + scaled(MaxDelay - MinDelay, uniform());
}

void UsageSimulation::at(microseconds time, const std::function<void()> &action)
{
    m_schedule.after(time - m_schedule.now(), action);
}

void UsageSimulation::runUntil(microseconds end)
{
    while (m_schedule.step(end)) {
    }
}

void UsageSimulation::onEntry(std::size_t entry, std::uint64_t epoch,
                              const std::function<void()> &action)
{
    const Entry &it = m_entries[entry];
    if (it.epoch != epoch || it.process == nullptr) {
        return;
    }
    if (m_schedule.now() < it.pausedUntil) {
        m_schedule.after(it.pausedUntil - m_schedule.now(),
                         [this, entry, epoch, action] { onEntry(entry, epoch, action); });
        return;
    }
    action();
}

bool UsageSimulation::isConnected(std::size_t a, std::size_t b) const
{
    return m_cutOff.contains(a) == m_cutOff.contains(b);
}

void UsageSimulation::start(std::size_t entry)
{
    Entry &it = m_entries[entry];
    const std::uint64_t epoch = ++it.epoch;
    EntryRecord record;
    record.instance = it.id;
    record.domain = FailureDomainId("d" + std::to_string(entry % DomainCount));
    record.incarnation = Incarnation(m_random() >> 1U);
    record.issuesUsage = true;
    m_registrations[it.id] = record;
    it.process = std::make_unique<Process>(
            record, m_random(),
            [this, entry, epoch](const InstanceId &issuer, const UsageRequests &requests,
                                 const UsageCaps::RepliesSlot &replied) {
                ask(entry, epoch, issuer, requests, replied);
            });
    for (const SimulatedWorkspace &workspace : m_workspaces) {
        it.process->table.emplace_back(workspace.workspace, workspace.version);
    }
    it.process->membership.setServing(true);
    it.isServing = true;
    it.pausedUntil = microseconds(0);
    m_schedule.after(scaled(GossipPeriod, uniform()),
                     [this, entry, epoch] { gossip(entry, epoch); });
    m_schedule.after(microseconds(10'000), [this, entry, epoch] { refreshRecords(entry, epoch); });
}

void UsageSimulation::kill(std::size_t entry)
{
    ++m_entries[entry].epoch;
    m_entries[entry].process.reset();
    m_entries[entry].isServing = false;
}

void UsageSimulation::stop(std::size_t entry)
{
    Entry &it = m_entries[entry];
    m_registrations.erase(it.id);
    it.isServing = false;
    if (it.process != nullptr) {
        it.process->membership.setServing(false);
        const std::uint64_t epoch = it.epoch;
        m_schedule.after(StopTime, [this, entry, epoch] {
            if (m_entries[entry].epoch == epoch) {
                kill(entry);
            }
        });
    }
}

void UsageSimulation::pause(std::size_t entry, microseconds duration)
{
    m_entries[entry].pausedUntil = m_schedule.now() + duration;
}

void UsageSimulation::changeCap(std::size_t workspace, const UsageCap &cap)
{
    SimulatedWorkspace &changed = m_workspaces[workspace];
    changed.workspace.cap = cap;
    changed.version = RouteVersion(changed.version.value() + 1);
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const std::uint64_t epoch = m_entries[i].epoch;
        m_schedule.after(scaled(RegistryPeriod, uniform()), [this, i, epoch, workspace, cap,
                                                             version = changed.version] {
            onEntry(i, epoch, [this, i, workspace, cap, version] {
                auto &[known, knownVersion] = m_entries[i].process->table[workspace];
                known.cap = cap;
                knownVersion = version;
            });
        });
    }
}

std::size_t UsageSimulation::issuerOf(std::size_t workspace) const
{
    for (const Entry &it : m_entries) {
        if (it.process != nullptr && it.isServing) {
            return indexOf(*it.process->membership.usageIssuer(
                    m_workspaces[workspace].workspace.name, clock()));
        }
    }
    return 0;
}

void UsageSimulation::scheduleArrival(std::size_t workspace)
{
    const double rate = m_workspaces[workspace].demand(m_schedule.now());
    const double gap = std::exponential_distribution<double>(std::max(rate, 1.0))(m_random);
    m_schedule.after(microseconds(static_cast<std::int64_t>(std::min(gap, 0.25) * 1e6)),
                     [this, workspace, rate, gap] {
                         if (rate >= 1 && gap < 0.25) {
                             arrive(workspace);
                         }
                         scheduleArrival(workspace);
                     });
}

void UsageSimulation::arrive(std::size_t workspace)
{
    SimulatedWorkspace &it = m_workspaces[workspace];
    std::size_t entry = it.entryAt ? it.entryAt(m_schedule.now(), m_random) : m_random();
    // Callers turn to another entry when theirs does not accept requests.
    for (std::size_t i = 0; i < m_entries.size(); ++i, ++entry) {
        entry %= m_entries.size();
        if (m_entries[entry].isServing) {
            break;
        }
    }
    entry %= m_entries.size();
    it.arrivals.push_back(m_schedule.now());
    onEntry(entry, m_entries[entry].epoch, [this, entry, workspace] {
        const auto &[known, version] = m_entries[entry].process->table[workspace];
        m_entries[entry].process->caps.obtain(
                known, version, clock(), [this, workspace](UsageVerdict verdict, milliseconds) {
                    SimulatedWorkspace &decided = m_workspaces[workspace];
                    (verdict == UsageVerdict::Granted   ? decided.runs
                     : verdict == UsageVerdict::OverCap ? decided.overCap
                                                        : decided.unknown)
                            .push_back(m_schedule.now());
                });
    });
}

void UsageSimulation::ask(std::size_t entry, std::uint64_t epoch, const InstanceId &issuer,
                          const UsageRequests &requests, const UsageCaps::RepliesSlot &replied)
{
    ++m_calls;
    m_requestsInCalls += requests.size();
    const std::size_t other = indexOf(issuer);
    const std::shared_ptr<bool> hasEnded = std::make_shared<bool>(false);
    const auto end = [this, entry, epoch, hasEnded,
                      replied](const std::optional<UsageReplies> &replies) {
        onEntry(entry, epoch, [this, hasEnded, replied, replies] {
            if (!std::exchange(*hasEnded, true)) {
                replied(replies.has_value() ? &*replies : nullptr, clock());
            }
        });
    };
    m_schedule.after(UsageCaps::AskTimeout, [end] { end(std::nullopt); });
    const std::uint64_t otherEpoch = m_entries[other].epoch;
    m_schedule.after(delay(), [this, entry, other, otherEpoch, requests, end] {
        onEntry(other, otherEpoch, [this, entry, other, requests, end] {
            if (isConnected(entry, other)) {
                const UsageReplies replies =
                        m_entries[other].process->caps.answer(requests, clock());
                m_schedule.after(delay(), [end, replies] { end(replies); });
            }
        });
    });
}

void UsageSimulation::gossip(std::size_t entry, std::uint64_t epoch)
{
    onEntry(entry, epoch, [this, entry, epoch] {
        EntryMembership &own = m_entries[entry].process->membership;
        for (const InstanceId &it : own.beginGossipRound()) {
            const std::size_t other = indexOf(it);
            if (!isConnected(entry, other)) {
                continue;
            }
            const std::vector<GossipMemberState> states = own.memberStates(clock());
            const std::uint64_t otherEpoch = m_entries[other].epoch;
            m_schedule.after(delay(), [this, entry, epoch, other, otherEpoch, states] {
                onEntry(other, otherEpoch, [this, entry, epoch, other, states] {
                    EntryMembership &theirs = m_entries[other].process->membership;
                    theirs.merge(states, clock());
                    const std::vector<GossipMemberState> reply = theirs.memberStates(clock());
                    m_schedule.after(delay(), [this, entry, epoch, reply] {
                        onEntry(entry, epoch, [this, entry, reply] {
                            m_entries[entry].process->membership.merge(reply, clock());
                        });
                    });
                });
            });
        }
        m_entries[entry].process->caps.removeUnused(clock());
        m_schedule.after(GossipPeriod, [this, entry, epoch] { gossip(entry, epoch); });
    });
}

void UsageSimulation::refreshRecords(std::size_t entry, std::uint64_t epoch)
{
    onEntry(entry, epoch, [this, entry, epoch] {
        std::vector<EntryRecord> records;
        for (const auto &[id, record] : m_registrations) {
            records.push_back(record);
        }
        m_entries[entry].process->membership.setRecords(records);
        m_schedule.after(scaled(RegistryPeriod, 0.5 + 0.5 * uniform()),
                         [this, entry, epoch] { refreshRecords(entry, epoch); });
    });
}

} // namespace Tarragon
