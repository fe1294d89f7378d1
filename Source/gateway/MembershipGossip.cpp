#include "gateway/MembershipGossip.h"

#include "gateway/LimitCodec.h"
#include "gateway/SuspectCodec.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

namespace {

/// Period of gossip rounds. With two exchanges per entry and round, a change reaches all of 100
/// entries in about six rounds, well within the heartbeat timeout after which lookups no longer
/// return an entry.
constexpr milliseconds GossipPeriod{ 400 };
/// Timeout of an exchange. It equals the period because the next round sends everything again, so
/// that waiting longer has no benefit.
constexpr milliseconds ExchangeTimeout{ 400 };
/// Maximum age of a heartbeat in a message, which keeps computations with it from overflowing.
constexpr std::uint64_t MaxAgeMs = 3'600'000;

void fillMemberStates(capnp::List<PeerRpc::RosterItem>::Builder list,
                      const std::vector<GossipMemberState> &states)
{
    for (unsigned int i = 0; i < list.size(); ++i) {
        PeerRpc::RosterItem::Builder item = list[i];
        item.setInstance(states[i].instance.value());
        item.setIncarnation(states[i].incarnation.value());
        item.setBeat(states[i].heartbeat);
        item.setServing(states[i].isServing);
        item.setAgeMs(static_cast<std::uint64_t>(states[i].age.count()));
    }
}

} // namespace

MembershipGossip::MembershipGossip(EventLoop &loop, EntryMembership &membership,
                                   TargetLimits &limits, SuspectRequests &suspects,
                                   const Endpoint &rpc, std::uint64_t seed, PeerHandlers handlers)
    : m_loop(loop)
    , m_membership(membership)
    , m_limits(limits)
    , m_suspects(suspects)
    , m_network(loop, membership.localEntry().instance, seed)
{
    handlers.gossip = [this](PeerRpc::Peer::GossipParams::Reader params,
                             PeerRpc::Peer::GossipResults::Builder results) {
        merge(params.getMine());
        merge(params.getLimits());
        merge(params.getSuspects());
        const std::vector<GossipMemberState> states = m_membership.memberStates(m_loop.now());
        fillMemberStates(results.initTheirs(static_cast<unsigned int>(states.size())), states);
        const std::vector<TargetLimitChange> limits = m_limits.recentChanges(m_loop.now());
        fillLimits(results.initLimits(static_cast<unsigned int>(limits.size())), limits);
        const bool isDifferent = params.getSuspectDigest() != m_suspects.digest();
        const std::vector<SuspectRecord> suspects = m_suspects.toGossip(isDifferent, m_loop.now());
        fillSuspects(results.initSuspects(static_cast<unsigned int>(suspects.size())), suspects);
    };
    m_server = std::make_unique<PeerServer>(loop, rpc.address, rpc.port, std::move(handlers));
    m_timer = loop.scheduleEvery(GossipPeriod, [this] { runGossipRound(); });
}

void MembershipGossip::setRecords(const std::vector<EntryRecord> &records)
{
    m_membership.setRecords(records);
    std::vector<PeerEndpoint> peers;
    for (const EntryRecord &it : m_membership.otherEntries()) {
        peers.push_back(PeerEndpoint{ PeerIdentity{ it.instance, it.domain }, it.rpc });
    }
    m_network.setPeers(peers);
}

void MembershipGossip::announce()
{
    static_cast<void>(m_membership.beginGossipRound());
    for (const EntryRecord &it : m_membership.otherEntries()) {
        if (m_membership.isLive(it.instance, m_loop.now())) {
            exchangeWith(it.instance);
        }
    }
}

void MembershipGossip::runGossipRound()
{
    for (const InstanceId &it : m_membership.beginGossipRound()) {
        exchangeWith(it);
    }
}

void MembershipGossip::exchangeWith(const InstanceId &instance)
{
    PeerClient *client = m_network.client(instance);
    if (client == nullptr) {
        return;
    }
    const std::vector<GossipMemberState> states = m_membership.memberStates(m_loop.now());
    const std::vector<TargetLimitChange> limits = m_limits.recentChanges(m_loop.now());
    const std::vector<SuspectRecord> suspects = m_suspects.toGossip(false, m_loop.now());
    client->call(
            &PeerRpc::Peer::Client::gossipRequest, ExchangeTimeout,
            [this, &states, &limits, &suspects](PeerRpc::Peer::GossipParams::Builder params) {
                fillMemberStates(params.initMine(static_cast<unsigned int>(states.size())), states);
                fillLimits(params.initLimits(static_cast<unsigned int>(limits.size())), limits);
                fillSuspects(params.initSuspects(static_cast<unsigned int>(suspects.size())),
                             suspects);
                params.setSuspectDigest(m_suspects.digest());
            },
            [this](PeerOutcome outcome, const PeerRpc::Peer::GossipResults::Reader *results) {
                if (outcome == PeerOutcome::Done) {
                    merge(results->getTheirs());
                    merge(results->getLimits());
                    merge(results->getSuspects());
                }
            });
}

void MembershipGossip::merge(capnp::List<PeerRpc::RosterItem>::Reader list)
{
    std::vector<GossipMemberState> states;
    states.reserve(list.size());
    for (const PeerRpc::RosterItem::Reader it : list) {
        states.push_back(GossipMemberState{
                InstanceId(it.getInstance()), Incarnation(it.getIncarnation()), it.getBeat(),
                it.getServing(), milliseconds(std::min(it.getAgeMs(), MaxAgeMs)) });
    }
    m_membership.merge(states, m_loop.now());
}

void MembershipGossip::merge(capnp::List<PeerRpc::TargetLimitItem>::Reader list)
{
    for (const PeerRpc::TargetLimitItem::Reader it : list) {
        m_limits.merge(TargetId(it.getTarget()), decodeLimit(it.getLimit()), m_loop.now());
    }
}

void MembershipGossip::merge(capnp::List<PeerRpc::SuspectItem>::Reader list)
{
    for (const SuspectRecord &it : decodeSuspects(list)) {
        m_suspects.merge(it, m_loop.now());
    }
}

} // namespace Tarragon
