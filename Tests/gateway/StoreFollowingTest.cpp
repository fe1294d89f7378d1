#include "ScriptedStore.h"
#include "Support/FirstSeed.h"
#include "gateway/EntryRegistrationTemplate.h"
#include "gateway/KindSubscriptionTemplate.h"
#include "gateway/StoreRelayTemplate.h"
#include "net/Guard.h"
#include "platform/RegistryDecoder.h"
#include "platform/RouteTableDecoder.h"

#include <capnp/message.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <set>

namespace Tarragon {
namespace {

constexpr const char *FollowedKinds[] = { Platform::DesiredStateKind, Platform::TargetKind,
                                          Platform::EvacuationKind, Platform::EntryKind };

EntryRecord recordOf(const std::string &id)
{
    return EntryRecord{ InstanceId(id), FailureDomainId("d1"),      RegionId("r1"),
                        Incarnation(1), Endpoint{ "127.0.0.1", 1 }, Endpoint{ "127.0.0.1", 2 } };
}

/// An entry as far as it follows the store and keeps itself registered there, wired as in
/// GatewayDaemon, with a store whose answers the test orders.
class FollowingEntry
{
public:
    explicit FollowingEntry(std::uint64_t seed)
        : m_random(seed)
    {
        for (const char *it : { "e2", "e3", "e4", "e5" }) {
            m_contents.put(Platform::EntryKind, it, Platform::encodeEntry(recordOf(it)));
        }
        changeAllKinds();
        for (const char *it : FollowedKinds) {
            m_subscriptions.push_back(std::make_unique<Subscription>(
                    m_loop, m_store, m_health, it, handlersOf(it), seed,
                    it == std::string(Platform::EntryKind)
                            ? SubscriptionOptions{ milliseconds(1'000), true, true, false }
                            : SubscriptionOptions{ milliseconds(300), true, false, true }));
        }
        m_registration.changed().connect([this] {
            m_membership.setRecords(m_registration.records());
            m_relay.start();
            m_hasRelayStarted = true;
        });
        for (std::size_t i = 0; i + 1 < m_subscriptions.size(); ++i) {
            m_relay.add(*m_subscriptions[i]);
        }
        for (const std::unique_ptr<Subscription> &it : m_subscriptions) {
            it->start();
        }
        m_registration.start();
    }

    ScriptedStore &store() { return m_store; }
    /// Writes another object of each kind that the operator and the targets write.
    void changeAllKinds()
    {
        ++m_version;
        const nlohmann::json spec = { { "version", m_version } };
        m_contents.put(Platform::DesiredStateKind, "main", spec);
        m_contents.put(Platform::TargetKind, "t1", spec);
        m_contents.put(Platform::EvacuationKind, "d2", spec);
    }
    void copyStore() { m_copy = m_contents.objects(); }
    /// Restores the store from the copy; what is missing is written again.
    void restoreStore()
    {
        m_contents.restore(m_copy);
        changeAllKinds();
    }
    void forgetHistory() { m_contents.compact(); }
    /// Sets whether neighbours that are polled reply, as watchers whose objects have not changed.
    void setNeighboursReply(bool doReply) { m_doNeighboursReply = doReply; }
    void abortWatches()
    {
        for (const std::unique_ptr<Subscription> &it : m_subscriptions) {
            it->abortWatch("connection check failed");
        }
    }
    /// Removes the entry's registration, as other entries do that consider it failed.
    void removeRegistration() { m_contents.remove(Platform::EntryKind, "e1"); }
    void failNextHandler() { m_failsNextHandler = true; }
    void advance(microseconds time)
    {
        const microseconds end = m_schedule.now() + time;
        m_schedule.after(time, [] {});
        while (m_schedule.now() < end) {
            guarded("timer", [&] { m_schedule.step(end); });
        }
    }
    /// Lets the store answer all calls for a time.
    void serve(microseconds time)
    {
        const microseconds end = m_schedule.now() + time;
        while (m_schedule.now() < end) {
            for (const std::shared_ptr<ScriptedStore::OpenCall> &it : m_store.openCalls()) {
                guarded("answer", [&] { it->answer(ScriptedAnswer::Run); });
            }
            advance(milliseconds(10));
        }
    }

    /// Describes what has neither a call nor a timer pending; empty if nothing.
    std::string stalled() const
    {
        std::string result;
        for (const std::unique_ptr<Subscription> &it : m_subscriptions) {
            if (!it->hasPendingWork()) {
                result += " " + it->kind();
            }
        }
        if (!m_registration.hasPendingWork()) {
            result += " registration";
        }
        if (m_hasRelayStarted && !m_relay.hasPendingWork()) {
            result += " relay";
        }
        return result;
    }
    /// Describes what is not as the store has it; empty if nothing.
    std::string outdated() const
    {
        std::string result;
        for (const char *it :
             { Platform::DesiredStateKind, Platform::TargetKind, Platform::EvacuationKind }) {
            const auto known = m_known.find(it);
            if (known == m_known.end() || known->second != m_version) {
                result += std::string(" ") + it;
            }
        }
        if (m_contents.objects().find(Platform::EntryKind, "e1") == nullptr) {
            result += " registration";
        }
        return result;
    }

private:
    using Subscription = BasicKindSubscription<VirtualLoop, ScriptedStore>;
    using Relay = BasicStoreRelay<VirtualLoop, ScriptedStore>;
    using Registration = BasicEntryRegistration<VirtualLoop, ScriptedStore>;

    void checkHandler()
    {
        if (std::exchange(m_failsNextHandler, false)) {
            throw std::runtime_error("handler failed");
        }
    }
    void learn(const std::string &kind, const Platform::StoredItem &item)
    {
        if (kind != Platform::EntryKind) {
            m_known[kind] = item.spec.at("version").get<std::uint64_t>();
        }
    }
    Subscription::Handlers handlersOf(const std::string &kind)
    {
        return { [this, kind](const std::vector<Platform::StoredItem> &items) {
                    checkHandler();
                    for (const Platform::StoredItem &it : items) {
                        learn(kind, it);
                    }
                    if (kind == Platform::EntryKind) {
                        m_registration.onSnapshot(items, m_subscriptions.back()->isRestored());
                    }
                },
                 [this, kind](const std::vector<Platform::StoredChange> &changes) {
                     checkHandler();
                     for (const Platform::StoredChange &it : changes) {
                         if (!it.isRemoval) {
                             learn(kind, it.item);
                         }
                     }
                     if (kind == Platform::EntryKind) {
                         m_registration.onChanges(changes);
                     }
                 } };
    }
    void ask(milliseconds timeout, const Relay::FillSlot &fill, const Relay::ReplySlot &onReply)
    {
        if (!m_doNeighboursReply) {
            m_loop.run(timeout, [onReply] { onReply(nullptr); });
            return;
        }
        using Message = capnp::MallocMessageBuilder;
        const std::shared_ptr<Message> question = std::make_shared<Message>();
        fill(question->initRoot<PeerRpc::Peer::RelayParams>());
        m_loop.run(milliseconds(2), [this, question, onReply] {
            Message answer;
            fillReply(question->getRoot<PeerRpc::Peer::RelayParams>().asReader(),
                      answer.initRoot<PeerRpc::Peer::RelayResults>());
            const PeerRpc::Peer::RelayResults::Reader reply =
                    answer.getRoot<PeerRpc::Peer::RelayResults>().asReader();
            onReply(&reply);
        });
    }
    void fillReply(PeerRpc::Peer::RelayParams::Reader question,
                   PeerRpc::Peer::RelayResults::Builder reply)
    {
        reply.setWatching(true);
        reply.setSinceStoreReturnMs(1'000'000'000);
        const capnp::List<PeerRpc::KindPosition>::Reader positions = question.getPositions();
        capnp::List<PeerRpc::KindNews>::Builder news = reply.initNews(positions.size());
        for (unsigned int i = 0; i < positions.size(); ++i) {
            news[i].setKind(positions[i].getKind());
            news[i].setEra(m_contents.objects().era());
            news[i].setRevision(positions[i].getRevision());
            news[i].setCoverage(positions[i].getRevision() == m_contents.objects().revision()
                                        ? PeerRpc::NewsCoverage::COMPLETE
                                        : PeerRpc::NewsCoverage::READ_STORE);
        }
    }

    std::mt19937_64 m_random;
    VirtualSchedule m_schedule;
    VirtualLoop m_loop{ m_schedule };
    VirtualStore m_contents{ m_schedule };
    ScriptedStore m_store{ m_loop, m_contents };
    StandInObjects m_copy;
    StoreHealth m_health;
    EntryMembership m_membership{ recordOf("e1"), 1 };
    Registration m_registration{ m_loop, m_store, m_membership, 1 };
    Relay m_relay{ m_loop,
                   m_membership,
                   m_health,
                   m_store,
                   [this](const InstanceId &, milliseconds timeout, const Relay::FillSlot &fill,
                          const Relay::ReplySlot &onReply) { ask(timeout, fill, onReply); },
                   false };
    std::vector<std::unique_ptr<Subscription>> m_subscriptions;
    bool m_hasRelayStarted = false;
    bool m_doNeighboursReply = false;
    bool m_failsNextHandler = false;
    std::uint64_t m_version = 0;
    std::map<std::string, std::uint64_t> m_known;
};

/// Answers the open calls in the given order of their kinds; writes count as one more kind.
void answerInOrder(FollowingEntry &entry, const std::array<std::size_t, 5> &order,
                   ScriptedAnswer answer)
{
    std::vector<std::shared_ptr<ScriptedStore::OpenCall>> calls = entry.store().openCalls();
    const auto rank = [&order](const std::shared_ptr<ScriptedStore::OpenCall> &call) {
        std::size_t kind = std::size(FollowedKinds);
        if (!call->isWrite) {
            kind = static_cast<std::size_t>(
                    std::find(std::begin(FollowedKinds), std::end(FollowedKinds), call->kind)
                    - std::begin(FollowedKinds));
        }
        return order.at(kind);
    };
    std::stable_sort(calls.begin(), calls.end(),
                     [&rank](const auto &a, const auto &b) { return rank(a) < rank(b); });
    for (const std::shared_ptr<ScriptedStore::OpenCall> &it : calls) {
        it->answer(answer);
    }
}

// Guards against an entry that starts while the store is away and never follows a kind whose own
// response showed that the store was restored.
TEST(StoreFollowingTest, EntryThatStartsInAnOutageFollowsTheRestoredStoreInEveryOrder)
{
    std::array<std::size_t, 5> order{ 0, 1, 2, 3, 4 };
    do {
        for (int rejections = 0; rejections < 4; ++rejections) {
            FollowingEntry entry(1);
            entry.copyStore();
            entry.changeAllKinds();
            for (int i = 0; i < rejections; ++i) {
                answerInOrder(entry, order, ScriptedAnswer::Reject);
                entry.advance(milliseconds(150 * i));
            }
            entry.advance(milliseconds(50));
            entry.restoreStore();
            answerInOrder(entry, order, ScriptedAnswer::Run);
            ASSERT_EQ(entry.stalled(), "")
                    << "order " << testing::PrintToString(order) << ", rejections " << rejections;
            entry.serve(seconds(4));
            ASSERT_EQ(entry.stalled(), "")
                    << "order " << testing::PrintToString(order) << ", rejections " << rejections;
            ASSERT_EQ(entry.outdated(), "")
                    << "order " << testing::PrintToString(order) << ", rejections " << rejections;
        }
    } while (std::next_permutation(order.begin(), order.end()));
}

/// Plays one random step: an answer of the store, a disturbance, or time.
void playStep(FollowingEntry &entry, std::mt19937_64 &random)
{
    const auto draw = [&random](std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    };
    const std::vector<std::shared_ptr<ScriptedStore::OpenCall>> calls = entry.store().openCalls();
    const std::size_t kind = draw(22);
    if (kind < 10 && !calls.empty()) {
        static constexpr ScriptedAnswer Answers[] = {
            ScriptedAnswer::Run,    ScriptedAnswer::Run,      ScriptedAnswer::RunUnanswered,
            ScriptedAnswer::Reject, ScriptedAnswer::LoseCall, ScriptedAnswer::LoseAnswer,
        };
        const std::shared_ptr<ScriptedStore::OpenCall> &call = calls[draw(calls.size())];
        // As the event loop calls back.
        guarded("answer", [&] { call->answer(Answers[draw(std::size(Answers))]); });
    } else if (kind < 15) {
        static constexpr milliseconds Times[] = { milliseconds(1), milliseconds(120),
                                                  milliseconds(600), milliseconds(2'100) };
        entry.advance(Times[draw(std::size(Times))]);
    } else if (kind == 15) {
        entry.restoreStore();
    } else if (kind == 16) {
        entry.changeAllKinds();
    } else if (kind == 17) {
        entry.setNeighboursReply(draw(2) == 0);
    } else if (kind == 18) {
        entry.forgetHistory();
    } else if (kind == 19) {
        entry.removeRegistration();
    } else if (kind == 20) {
        entry.failNextHandler();
    } else {
        entry.abortWatches();
    }
}

/// Plays random steps; at the end the store serves all calls and the entry must follow it.
void playRandomSteps(std::uint64_t seed)
{
    static constexpr int StepCount = 60;
    std::mt19937_64 random(seed);
    FollowingEntry entry(seed);
    entry.copyStore();
    for (int i = 0; i < StepCount; ++i) {
        playStep(entry, random);
        ASSERT_EQ(entry.stalled(), "") << "seed " << seed << ", step " << i;
    }
    entry.setNeighboursReply(false);
    entry.changeAllKinds();
    entry.serve(seconds(10));
    ASSERT_EQ(entry.outdated(), "") << "seed " << seed;
}

// Guards against an entry that ends with neither a call nor a timer pending, and no longer follows
// the store or is no longer registered, after any order of answers and failures.
TEST(StoreFollowingTest, SomethingIsAlwaysPendingAndTheStoreIsFollowedInTheEnd)
{
    static constexpr std::uint64_t RunCount = 400;
    for (std::uint64_t seed = firstSeed(); seed < firstSeed() + RunCount; ++seed) {
        playRandomSteps(seed);
    }
}

// Guards against an entry that stays unregistered because its record was removed or lost while the
// entry was writing it.
TEST(StoreFollowingTest, RecordThatIsLostWhileItIsWrittenIsWrittenAgain)
{
    for (const std::uint64_t seed : { 27'004, 43'682, 44'034, 57'643, 59'932 }) {
        playRandomSteps(seed);
    }
}

} // namespace
} // namespace Tarragon
