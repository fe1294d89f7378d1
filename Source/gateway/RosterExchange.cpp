#include "gateway/RosterExchange.h"

#include <utility>

namespace Tarragon {

namespace {

/// Period of rounds. News reaches all of a hundred entries in about six rounds with two exchanges
/// each, well within the silence after which an entry is not named any more.
constexpr milliseconds RoundPeriod{ 400 };
/// The next round repeats everything, so that waiting longer gains nothing.
constexpr milliseconds ExchangeTimeout{ 400 };

void fillItems(capnp::List<PeerRpc::RosterItem>::Builder list, const std::vector<RosterItem> &items)
{
    for (unsigned int i = 0; i < list.size(); ++i) {
        PeerRpc::RosterItem::Builder item = list[i];
        item.setInstance(items[i].instance.value());
        item.setIncarnation(items[i].incarnation.value());
        item.setBeat(items[i].beat);
        item.setServing(items[i].isServing);
    }
}

} // namespace

RosterExchange::RosterExchange(EventLoop &loop, EntryRoster &roster, const Endpoint &rpc,
                               std::uint64_t seed, PeerHandlers handlers)
    : m_loop(loop)
    , m_roster(roster)
    , m_network(loop, roster.self().instance, seed)
{
    handlers.gossip = [this](capnp::List<PeerRpc::RosterItem>::Reader mine,
                             PeerRpc::Peer::GossipResults::Builder theirs) {
        merge(mine);
        const std::vector<RosterItem> items = m_roster.items();
        fillItems(theirs.initTheirs(static_cast<unsigned int>(items.size())), items);
    };
    m_server = std::make_unique<PeerServer>(loop, rpc.address, rpc.port, std::move(handlers));
    m_timer = loop.scheduleEvery(RoundPeriod, [this] { round(); });
}

void RosterExchange::setRecords(const std::vector<EntryRecord> &records)
{
    m_roster.setRecords(records);
    std::vector<PeerEndpoint> peers;
    for (const EntryRecord &it : m_roster.others()) {
        peers.push_back(PeerEndpoint{ PeerIdentity{ it.instance, it.domain }, it.rpc });
    }
    m_network.setPeers(peers);
}

void RosterExchange::announce()
{
    static_cast<void>(m_roster.beginRound());
    for (const EntryRecord &it : m_roster.others()) {
        if (m_roster.isLive(it.instance, m_loop.now())) {
            exchangeWith(it.instance);
        }
    }
}

void RosterExchange::round()
{
    for (const InstanceId &it : m_roster.beginRound()) {
        exchangeWith(it);
    }
}

void RosterExchange::exchangeWith(const InstanceId &instance)
{
    PeerClient *client = m_network.client(instance);
    if (client == nullptr) {
        return;
    }
    const std::vector<RosterItem> items = m_roster.items();
    client->call(
            &PeerRpc::Peer::Client::gossipRequest, ExchangeTimeout,
            [this, &items](PeerRpc::Peer::GossipParams::Builder params) {
                fillItems(params.initMine(static_cast<unsigned int>(items.size())), items);
            },
            [this](PeerOutcome outcome, const PeerRpc::Peer::GossipResults::Reader *results) {
                if (outcome == PeerOutcome::Done) {
                    merge(results->getTheirs());
                }
            });
}

void RosterExchange::merge(capnp::List<PeerRpc::RosterItem>::Reader list)
{
    std::vector<RosterItem> items;
    items.reserve(list.size());
    for (const PeerRpc::RosterItem::Reader it : list) {
        items.push_back(RosterItem{ InstanceId(it.getInstance()), Incarnation(it.getIncarnation()),
                                    it.getBeat(), it.getServing() });
    }
    m_roster.merge(items, m_loop.now());
}

} // namespace Tarragon
