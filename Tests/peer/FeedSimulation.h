#pragma once

#include "base/Digest.h"
#include "peer/Dissemination.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace Tarragon {

/// Faults of a simulated run.
struct FeedFaults
{
    /// Probability that a message is lost.
    double loss = 0;
    /// Probability that a message that is not lost arrives twice.
    double duplication = 0;
    /// Upper bound of the uniformly distributed time that is added to a message's delay.
    milliseconds delaySpread{ 0 };
    /// Probability that the text of a section from a peer or the store is altered.
    double corruption = 0;
    milliseconds storeDelay{ 5 };
};

/// Simulates a deployment in virtual time: instances with their dissemination, a store, and a
/// network that loses, delays, duplicates and reorders messages. Tracks the versions in force on
/// every instance and records each violation of the invariants: only accepted texts come into
/// force, versions only increase, and an accepted generation is in force on all running instances
/// within Bound.
template<typename Rules>
class FeedSimulation
{
public:
    static constexpr microseconds Bound{ 3'000'000 };
    static constexpr microseconds TickPeriod{ 100'000 };
    static constexpr int Sections = 4;

    FeedSimulation(std::uint64_t seed, int domains, int entriesPerDomain, const FeedFaults &faults,
                   const DisseminationOptions &options = {})
        : m_random(seed)
        , m_faults(faults)
        , m_options(options)
        , m_domains(domains)
        , m_entriesPerDomain(entriesPerDomain)
        , m_storeCut(static_cast<std::size_t>(domains))
        , m_isolated(static_cast<std::size_t>(domains))
        , m_storeCalls(static_cast<std::size_t>(domains))
    {
        for (int i = 0; i < domains * entriesPerDomain; ++i) {
            m_nodes.emplace_back();
            m_nodes.back().identity = PeerIdentity{ InstanceId("e" + std::to_string(i)),
                                                    domainName(i / entriesPerDomain) };
            m_index[m_nodes.back().identity.id] = m_nodes.size() - 1;
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            start(i);
    }

    std::mt19937_64 &random() { return m_random; }
    std::int64_t uniform(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
    }
    bool chance(double probability) { return std::bernoulli_distribution(probability)(m_random); }
    MonotonicTime now() const { return m_now; }
    std::size_t size() const { return m_nodes.size(); }
    int domainOf(std::size_t node) const { return static_cast<int>(node) / m_entriesPerDomain; }
    bool isAlive(std::size_t node) const { return m_nodes[node].process != nullptr; }
    bool isWatcher(std::size_t node) const
    {
        return isAlive(node) && m_nodes[node].process->isWatcher(m_now);
    }

    void at(microseconds time, std::function<void()> action)
    {
        m_queue.push(Event{ MonotonicTime(time), ++m_sequence, std::move(action) });
    }
    void runUntil(microseconds time)
    {
        while (!m_queue.empty() && m_queue.top().time <= MonotonicTime(time)) {
            Event event = m_queue.top();
            m_queue.pop();
            m_now = event.time;
            event.action();
        }
        m_now = MonotonicTime(time);
    }

    void setStoreUp(bool up)
    {
        m_storeUp = up;
        if (up)
            m_faultsEndedAt = m_now;
    }
    /// Drops all store calls of a domain without a result or an error.
    void cutFromStore(int domain, bool cut) { m_storeCut[index(domain)] = cut; }
    /// Cuts a domain from all others and from the store.
    void isolate(int domain, bool cut)
    {
        m_isolated[index(domain)] = cut;
        if (!cut)
            m_faultsEndedAt = m_now;
    }
    void kill(std::size_t node)
    {
        Node &dead = m_nodes[node];
        // The object is destroyed at the end of the event, which may still use it.
        m_killedProcesses.push_back(std::move(dead.process));
        ++dead.epoch;
    }
    void start(std::size_t node)
    {
        Node &fresh = m_nodes[node];
        ++fresh.epoch;
        fresh.generation = Generation();
        fresh.plan = PlanVersion();
        fresh.runningSince = m_now;
        fresh.frozenUntil = m_now;
        fresh.process = std::make_unique<BasicDissemination<Rules>>(fresh.identity, m_options,
                                                                    m_random(), m_now);
        std::vector<PeerIdentity> peers;
        for (const Node &other : m_nodes)
            peers.push_back(other.identity);
        fresh.process->setPeers(peers);
        scheduleTick(node, fresh.epoch, microseconds(uniform(0, TickPeriod.count())));
    }
    void freeze(std::size_t node, microseconds duration)
    {
        m_nodes[node].frozenUntil = m_now + duration;
        m_nodes[node].runningSince = m_now + duration;
    }

    /// Accepts a new generation in the store by the node's conditional update of the head. The node
    /// then puts it into force, or is killed first if it does not survive.
    void accept(std::size_t node, bool survives)
    {
        const Generation generation = m_head.generation.next();
        m_head.generation = generation;
        const SectionName changed("s" + std::to_string(uniform(0, Sections - 1)));
        for (int i = 0; i < Sections; ++i) {
            const SectionName name("s" + std::to_string(i));
            if (m_texts.contains(name) && name != changed)
                continue;
            m_texts[name] = name.value() + " of " + std::to_string(generation.value());
            m_head.sections[name].digest = sha256Hex(m_texts[name]);
            m_sections[m_head.sections[name].digest] = m_texts[name];
        }
        m_accepted[generation] = m_texts;
        const MonotonicTime acceptedAt = m_now;
        at(m_now.time_since_epoch() + Bound,
           [this, generation, acceptedAt] { checkBound(generation, acceptedAt); });
        notifyWatches();
        if (!survives) {
            kill(node);
            return;
        }
        FeedActions actions;
        m_nodes[node].process->acceptLocally(m_head, m_texts, m_now, actions);
        perform(node, actions);
    }

    void changePlan(std::size_t node)
    {
        m_plan = m_plan.next();
        notifyWatches();
        FeedActions actions;
        m_nodes[node].process->acceptPlanLocally(m_plan, planText(m_plan), m_now, actions);
        perform(node, actions);
    }

    const std::vector<std::string> &violations() const { return m_violations; }
    /// Returns the longest time until an accepted generation was in force on a node, counted from
    /// the latest of the acceptance, the node's start or the end of its freeze, and the end of the
    /// last partition or store outage.
    microseconds slowest() const { return m_slowest; }
    const std::vector<std::size_t> &storeCalls() const { return m_storeCalls; }
    std::size_t messages() const { return m_messages; }
    Generation generationOf(std::size_t node) const { return m_nodes[node].generation; }
    Generation accepted() const { return m_head.generation; }

private:
    struct Event
    {
        MonotonicTime time;
        std::uint64_t sequence = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::pair(other.time, other.sequence) < std::pair(time, sequence);
        }
    };
    struct Node
    {
        PeerIdentity identity;
        std::unique_ptr<BasicDissemination<Rules>> process;
        int epoch = 0;
        /// Time of the last start or end of a freeze.
        MonotonicTime runningSince;
        MonotonicTime frozenUntil;
        Generation generation;
        PlanVersion plan;
        std::map<Generation, MonotonicTime> adoptedAt;
    };
    struct Watch
    {
        std::size_t node = 0;
        int epoch = 0;
        FetchItem fetch;
        bool isOpen = true;
    };

    static std::size_t index(int domain) { return static_cast<std::size_t>(domain); }
    static FailureDomainId domainName(int domain)
    {
        return FailureDomainId("d" + std::to_string(domain));
    }
    static std::string planText(PlanVersion version)
    {
        return "plan " + std::to_string(version.value());
    }

    void recordViolation(const std::string &text)
    {
        std::ostringstream out;
        out << "at " << m_now.time_since_epoch().count() / 1000 << " ms: " << text;
        m_violations.push_back(out.str());
    }

    void scheduleTick(std::size_t node, int epoch, microseconds delay)
    {
        deliver(node, epoch, delay, [this, node, epoch](FeedActions &actions) {
            m_nodes[node].process->tick(m_now, actions);
            scheduleTick(node, epoch, TickPeriod);
        });
    }

    /// Runs the action on a node after the delay, or at the end of its freeze if that is later.
    /// Drops it if the node has been killed or restarted since.
    void deliver(std::size_t node, int epoch, microseconds delay,
                 std::function<void(FeedActions &)> action)
    {
        at((m_now + delay).time_since_epoch(), [this, node, epoch, action = std::move(action)] {
            const Node &receiver = m_nodes[node];
            if (receiver.epoch != epoch || receiver.process == nullptr)
                return;
            if (m_now < receiver.frozenUntil) {
                deliver(node, epoch, receiver.frozenUntil - m_now, action);
                return;
            }
            FeedActions actions;
            action(actions);
            perform(node, actions);
        });
    }

    bool isLinked(std::size_t a, std::size_t b) const
    {
        return domainOf(a) == domainOf(b)
               || (!m_isolated[index(domainOf(a))] && !m_isolated[index(domainOf(b))]);
    }

    /// Sends a message, which may be lost or duplicated.
    void send(std::size_t from, std::size_t to, const std::function<void(FeedActions &)> &action)
    {
        const int copies = chance(m_faults.loss) ? 0 : (chance(m_faults.duplication) ? 2 : 1);
        ++m_messages;
        if (!isLinked(from, to))
            return;
        const std::int64_t base = domainOf(from) == domainOf(to) ? 1 : 20;
        for (int i = 0; i < copies; ++i) {
            const milliseconds delay(base + uniform(0, m_faults.delaySpread.count()));
            deliver(to, m_nodes[to].epoch, delay, action);
        }
    }

    void perform(std::size_t node, const FeedActions &actions)
    {
        for (const FeedAction &action : actions)
            std::visit([this, node](const auto &single) { carryOut(node, single); }, action);
        m_killedProcesses.clear();
    }

    void carryOut(std::size_t node, const SendHeartbeat &heartbeat)
    {
        const std::size_t to = m_index.at(heartbeat.to);
        const int epoch = m_nodes[node].epoch;
        const FeedReport mine = m_nodes[node].process->report();
        send(node, to, [this, node, to, epoch, mine](FeedActions &actions) {
            m_nodes[to].process->onReport(mine, m_now, actions);
            const FeedReport theirs = m_nodes[to].process->report();
            if (m_nodes[node].epoch != epoch)
                return;
            send(to, node, [this, node, theirs](FeedActions &more) {
                m_nodes[node].process->onReport(theirs, m_now, more);
            });
        });
    }

    void carryOut(std::size_t node, const SendOffer &offer)
    {
        const InstanceId sender = m_nodes[node].identity.id;
        const std::size_t to = m_index.at(offer.to);
        send(node, to, [this, to, sender, versions = offer.versions](FeedActions &actions) {
            m_nodes[to].process->onOffer(sender, versions, m_now, actions);
        });
    }

    void carryOut(std::size_t node, const FetchItem &fetch)
    {
        if (!fetch.from) {
            callStore(node, [this, node, fetch] { replyWithItem(node, fetch); });
            return;
        }
        const std::size_t to = m_index.at(*fetch.from);
        const int epoch = m_nodes[node].epoch;
        send(node, to, [this, node, to, epoch, fetch](FeedActions &) {
            const BasicDissemination<Rules> &peer = *m_nodes[to].process;
            FetchedItem item;
            item.ok = true;
            if (fetch.item == FeedItem::Plan) {
                if (peer.versions().plan.value() > fetch.newerThan) {
                    item.version = peer.versions().plan.value();
                    item.plan = peer.planJson();
                }
            } else if (peer.versions().generation.value() > fetch.newerThan) {
                item.version = peer.versions().generation.value();
                item.head = peer.head();
            }
            if (m_nodes[node].epoch != epoch)
                return;
            send(to, node, [this, node, fetch, item](FeedActions &actions) {
                m_nodes[node].process->onItem(fetch.number, item, m_now, actions);
            });
        });
    }

    void carryOut(std::size_t node, const FetchSection &fetch)
    {
        if (!fetch.from) {
            callStore(node, [this, node, fetch] {
                sendSection(node, std::nullopt, fetch, m_sections.at(fetch.digest));
            });
            return;
        }
        const std::size_t to = m_index.at(*fetch.from);
        const int epoch = m_nodes[node].epoch;
        send(node, to, [this, node, to, epoch, fetch](FeedActions &) {
            if (m_nodes[node].epoch != epoch)
                return;
            std::optional<std::string> text;
            const auto it = m_nodes[to].process->texts().find(fetch.name);
            if (it != m_nodes[to].process->texts().end())
                text = it->second;
            sendSection(node, to, fetch, text);
        });
    }

    void sendSection(std::size_t node, std::optional<std::size_t> from, const FetchSection &fetch,
                     std::optional<std::string> text)
    {
        if (text && chance(m_faults.corruption))
            text->append("?");
        const std::function<void(FeedActions &)> action = [this, node, fetch,
                                                           text](FeedActions &actions) {
            m_nodes[node].process->onSection(fetch.number, fetch.name, text, m_now, actions);
        };
        if (from) {
            send(*from, node, action);
        } else {
            deliver(node, m_nodes[node].epoch, m_faults.storeDelay, action);
        }
    }

    void carryOut(std::size_t node, const AdoptConfiguration &adopted)
    {
        Node &self = m_nodes[node];
        const Generation generation = adopted.head.generation;
        if (generation <= self.generation) {
            recordViolation(self.identity.id.value() + " replaced generation "
                            + std::to_string(self.generation.value()) + " by "
                            + std::to_string(generation.value()));
        }
        const auto it = m_accepted.find(generation);
        if (it == m_accepted.end() || it->second != adopted.texts) {
            recordViolation(self.identity.id.value()
                            + " put texts into force that were not accepted for generation "
                            + std::to_string(generation.value()));
        }
        self.generation = generation;
        self.adoptedAt.emplace(generation, m_now);
    }

    void carryOut(std::size_t node, const AdoptPlan &adopted)
    {
        Node &self = m_nodes[node];
        if (adopted.version <= self.plan) {
            recordViolation(self.identity.id.value() + " replaced plan "
                            + std::to_string(self.plan.value()) + " by "
                            + std::to_string(adopted.version.value()));
        }
        self.plan = adopted.version;
    }

    /// Calls the store. If the store is not reachable, the call gets neither a result nor an error,
    /// which is the worst case.
    void callStore(std::size_t node, const std::function<void()> &action)
    {
        const std::size_t domain = index(domainOf(node));
        ++m_storeCalls[domain];
        const int epoch = m_nodes[node].epoch;
        at((m_now + m_faults.storeDelay).time_since_epoch(), [this, node, domain, epoch, action] {
            if (!isStoreReached(domain) || m_nodes[node].epoch != epoch)
                return;
            action();
        });
    }

    bool isStoreReached(std::size_t domain) const
    {
        return m_storeUp && !m_storeCut[domain] && !m_isolated[domain];
    }

    void replyWithItem(std::size_t node, const FetchItem &fetch)
    {
        FetchedItem item;
        item.ok = true;
        if (fetch.item == FeedItem::Plan && m_plan.value() > fetch.newerThan) {
            item.version = m_plan.value();
            item.plan = planText(m_plan);
        } else if (fetch.item == FeedItem::Configuration
                   && m_head.generation.value() > fetch.newerThan) {
            item.version = m_head.generation.value();
            item.head = m_head;
        } else if (fetch.wait.count() > 0) {
            const std::shared_ptr<Watch> watch = std::make_shared<Watch>();
            watch->node = node;
            watch->epoch = m_nodes[node].epoch;
            watch->fetch = fetch;
            watch->fetch.wait = milliseconds(0);
            m_watches.push_back(watch);
            at((m_now + fetch.wait).time_since_epoch(), [this, watch] { close(*watch); });
            return;
        }
        deliver(node, m_nodes[node].epoch, m_faults.storeDelay,
                [this, node, fetch, item](FeedActions &actions) {
                    m_nodes[node].process->onItem(fetch.number, item, m_now, actions);
                });
    }

    void close(Watch &watch)
    {
        if (!watch.isOpen)
            return;
        watch.isOpen = false;
        if (m_nodes[watch.node].epoch == watch.epoch && isStoreReached(index(domainOf(watch.node))))
            replyWithItem(watch.node, watch.fetch);
    }

    void notifyWatches()
    {
        const std::vector<std::shared_ptr<Watch>> watches = std::move(m_watches);
        m_watches.clear();
        for (const std::shared_ptr<Watch> &watch : watches) {
            const std::uint64_t present = watch->fetch.item == FeedItem::Plan
                                                  ? m_plan.value()
                                                  : m_head.generation.value();
            if (present > watch->fetch.newerThan) {
                close(*watch);
            } else if (watch->isOpen) {
                m_watches.push_back(watch);
            }
        }
    }

    /// Checks that every running node has the generation in force within the bound, counted from
    /// the latest of the acceptance, the node's start or the end of its freeze, and the end of the
    /// last partition or store outage. Nodes whose bound is not over yet are checked again when it
    /// is.
    void checkBound(Generation generation, MonotonicTime acceptedAt)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            checkNode(i, generation, acceptedAt);
    }

    void checkNode(std::size_t node, Generation generation, MonotonicTime acceptedAt)
    {
        const Node &self = m_nodes[node];
        if (self.process == nullptr)
            return;
        if (m_isolated[index(domainOf(node))]) {
            at((m_now + Bound).time_since_epoch(),
               [this, node, generation, acceptedAt] { checkNode(node, generation, acceptedAt); });
            return;
        }
        const MonotonicTime from = std::max({ acceptedAt, self.runningSince, m_faultsEndedAt });
        if (m_now < from + Bound && self.generation < generation) {
            at((from + Bound).time_since_epoch(),
               [this, node, generation, acceptedAt] { checkNode(node, generation, acceptedAt); });
            return;
        }
        if (self.generation < generation) {
            if (m_storeUp || isOnRunningNode(generation)) {
                recordViolation(
                        self.identity.id.value() + " of " + self.identity.domain.value()
                        + " is at generation " + std::to_string(self.generation.value())
                        + " although " + std::to_string(generation.value()) + " was accepted at "
                        + std::to_string(acceptedAt.time_since_epoch().count() / 1000) + " ms");
            }
            return;
        }
        const auto it = self.adoptedAt.lower_bound(generation);
        if (it != self.adoptedAt.end())
            m_slowest = std::max(m_slowest, it->second - from);
    }

    /// Whether any running node has the generation in force. If only an unavailable store has it,
    /// no node can get it.
    bool isOnRunningNode(Generation generation) const
    {
        for (const Node &node : m_nodes) {
            if (node.process != nullptr && node.generation >= generation)
                return true;
        }
        return false;
    }

    std::mt19937_64 m_random;
    FeedFaults m_faults;
    DisseminationOptions m_options;
    int m_domains;
    int m_entriesPerDomain;
    MonotonicTime m_now;
    MonotonicTime m_faultsEndedAt;
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event> m_queue;
    std::vector<Node> m_nodes;
    std::vector<std::unique_ptr<BasicDissemination<Rules>>> m_killedProcesses;
    std::map<InstanceId, std::size_t> m_index;
    bool m_storeUp = true;
    std::vector<bool> m_storeCut;
    std::vector<bool> m_isolated;
    std::vector<std::size_t> m_storeCalls;
    std::vector<std::shared_ptr<Watch>> m_watches;
    Head m_head;
    SectionTexts m_texts;
    std::map<std::string, std::string> m_sections;
    std::map<Generation, SectionTexts> m_accepted;
    PlanVersion m_plan;
    std::vector<std::string> m_violations;
    microseconds m_slowest{ 0 };
    std::size_t m_messages = 0;
};

} // namespace Tarragon
