#include "entry/PeerCoordinator.h"

#include "base/Digest.h"
#include "base/Error.h"
#include "peer/RegistryCodec.h"
#include "peer/SlotCodec.h"
#include "peer/WireTypes.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace Tarragon {

namespace {

/// Period of slot requests to neighbours.
constexpr milliseconds SlotPeriod{ 50 };
/// Period of the checks for timeouts of claims.
constexpr milliseconds ClaimTickPeriod{ 50 };
/// Period of reading the states of all entries from the membership.
constexpr milliseconds MembershipPeriod{ 200 };
/// Period of the slot reports to neighbours without a connection.
constexpr milliseconds UnsentReportPeriod{ 500 };

/// Period at which the entries of a failure domain together read the instance list of the platform;
/// each entry reads it at this period times the number of entries.
constexpr seconds DomainListPeriod{ 1 };

/// Timeout of slot requests and registry messages. The slot ledger and the at-most-once logic
/// repeat their messages, so that waiting longer has no benefit.
constexpr milliseconds MessageTimeout{ 250 };

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("peer");
    return instance;
}

PeerRpc::InstanceState wireState(bool isLeaving, bool isServing, DrainPhase phase)
{
    if (phase == DrainPhase::Finished) {
        return PeerRpc::InstanceState::FINISHED;
    }
    if (isLeaving) {
        return PeerRpc::InstanceState::LEAVING;
    }
    return isServing ? PeerRpc::InstanceState::SERVING : PeerRpc::InstanceState::STARTING;
}

} // namespace

PeerCoordinator::PeerCoordinator(EventLoop &loop, const Settings &settings, Incarnation incarnation,
                                 ServingState &state, ObjectStoreClient &store, DrainState &drain)
    : m_loop(loop)
    , m_settings(settings)
    , m_incarnation(incarnation)
    , m_state(state)
    , m_store(store)
    , m_drain(drain)
    , m_network(loop, settings.instance, incarnation.value())
    , m_feed(loop, store, m_network, PeerIdentity{ settings.instance, settings.domain },
             endpointsOf(settings), DisseminationOptions{}, incarnation.value())
    , m_claims(loop, settings.instance, incarnation,
               [this](const RegistryMessage &message) { sendRegistryMessage(message); })
{
    m_feed.adopted().connect([this](const ConfigurationPtr &configuration, const Head &,
                                    const SectionTexts &) { onAdopted(configuration); });
    m_feed.setHeartbeatSource([this](PeerRpc::Heartbeat::Builder heartbeat, const InstanceId &to) {
        fillHeartbeat(heartbeat, to);
    });
    m_feed.heartbeatReceived().connect(
            [this](PeerRpc::Heartbeat::Reader heartbeat) { onHeartbeat(heartbeat); });
    PeerHandlers handlers;
    m_feed.serve(handlers);
    handlers.requestSlots = [this](PeerRpc::SlotRequest::Reader request,
                                   PeerRpc::SlotResponse::Builder response) {
        writeGrantResponse(
                response, m_state.ledger().onGrantRequest(readGrantRequest(request), m_loop.now()));
    };
    handlers.registry = [this](capnp::List<PeerRpc::RegistryMessage>::Reader messages) {
        for (const PeerRpc::RegistryMessage::Reader it : messages) {
            m_claims.receive(readRegistryPayload(it));
        }
    };
    m_server = std::make_unique<PeerServer>(loop, settings.rpc.address, settings.rpc.port,
                                            std::move(handlers));
    m_slotTimer = loop.scheduleEvery(SlotPeriod, [this] { sendSlotRequests(); });
    m_claimTimer = loop.scheduleEvery(ClaimTickPeriod, [this] { m_claims.tick(); });
    m_membershipTimer = loop.scheduleEvery(MembershipPeriod, [this] { refreshMembership(); });
    m_reportTimer = loop.scheduleEvery(UnsentReportPeriod, [this] { recordUnsentReports(); });
    m_listTimer = loop.schedule(DomainListPeriod, [this] { readInstanceList(); });
}

PeerCoordinator::~PeerCoordinator()
{
    *m_isAlive = false;
}

void PeerCoordinator::announceLeaving()
{
    m_isLeaving = true;
    refreshMembership();
}

std::vector<PeerEndpoint> PeerCoordinator::endpointsOf(const Settings &settings)
{
    std::vector<PeerEndpoint> endpoints;
    for (const PeerAddress &it : settings.peers) {
        // The settings do not contain the failure domain of a peer. Until the document gives it,
        // each peer counts as a failure domain of its own, so that every peer is asked for the
        // document.
        const PeerIdentity identity{ it.instance, FailureDomainId(it.instance.value()) };
        endpoints.push_back(PeerEndpoint{ identity, it.rpc });
    }
    return endpoints;
}

void PeerCoordinator::onAdopted(const ConfigurationPtr &configuration)
{
    m_membership.setMembers(*configuration, m_loop.now());
    refreshMembership();
}

void PeerCoordinator::fillHeartbeat(PeerRpc::Heartbeat::Builder heartbeat, const InstanceId &to)
{
    heartbeat.getSender().setIncarnation(m_incarnation.value());
    heartbeat.setState(wireState(m_isLeaving, m_state.configuration() != nullptr, m_drain.phase()));
    if (isNeighbour(to)) {
        writeShareReport(heartbeat.initShares(), m_state.ledger().reportFor(to, m_loop.now()));
    }
}

void PeerCoordinator::onHeartbeat(PeerRpc::Heartbeat::Reader heartbeat)
{
    const MonotonicTime now = m_loop.now();
    const InstanceRun sender = readInstance(heartbeat.getSender());
    const bool isLeaving = heartbeat.getState() == PeerRpc::InstanceState::LEAVING
                           || heartbeat.getState() == PeerRpc::InstanceState::FINISHED;
    m_membership.onHeartbeat(sender.instance, sender.incarnation, isLeaving, now);
    PeerReport &report = m_reports[sender.instance];
    report.generation = Generation(heartbeat.getGeneration());
    report.plan = PlanVersion(heartbeat.getPlanVersion());
    report.lastHeartbeatAt = now;
    report.isLeaving = isLeaving;
    if (heartbeat.hasShares() && isNeighbour(sender.instance)) {
        m_state.ledger().onShareReport(
                readShareReport(heartbeat.getShares(), sender.instance, sender.incarnation), now);
    }
}

const FailureDomain *PeerCoordinator::ownDomain() const
{
    if (m_state.configuration() == nullptr) {
        return nullptr;
    }
    const std::map<FailureDomainId, FailureDomain> &domains =
            m_state.configuration()->topology.domains;
    const std::map<FailureDomainId, FailureDomain>::const_iterator it =
            domains.find(m_settings.domain);
    return it == domains.end() ? nullptr : &it->second;
}

bool PeerCoordinator::isNeighbour(const InstanceId &instance) const
{
    const FailureDomain *domain = ownDomain();
    if (domain == nullptr || instance == m_settings.instance) {
        return false;
    }
    return std::any_of(domain->entries.begin(), domain->entries.end(),
                       [&instance](const EntrySeat &it) { return it.id == instance; });
}

void PeerCoordinator::sendSlotRequests()
{
    for (const GrantRequest &request : m_state.ledger().requestsToSend(m_loop.now())) {
        PeerClient *client = m_network.client(request.to);
        if (client == nullptr) {
            continue;
        }
        client->call(
                &PeerRpc::Peer::Client::requestSlotsRequest, MessageTimeout,
                [&request](PeerRpc::Peer::RequestSlotsParams::Builder params) {
                    writeGrantRequest(params.initRequest(), request);
                },
                [this,
                 alive = m_isAlive](PeerOutcome outcome,
                                    const PeerRpc::Peer::RequestSlotsResults::Reader *results) {
                    if (*alive && outcome == PeerOutcome::Done) {
                        m_state.ledger().onGrantResponse(readGrantResponse(results->getResponse()),
                                                         m_loop.now());
                    }
                });
    }
}

void PeerCoordinator::recordUnsentReports()
{
    // A report that cannot be sent counts as lost. If no report were made, the ledger would treat
    // this entry as one whose process was paused and stop it, and no entry of the failure domain
    // would serve after a neighbour has crashed.
    for (const InstanceId &it : m_state.ledger().others()) {
        PeerClient *client = m_network.client(it);
        if (client == nullptr || !client->isConnected()) {
            static_cast<void>(m_state.ledger().reportFor(it, m_loop.now()));
        }
    }
}

void PeerCoordinator::sendRegistryMessage(const RegistryMessage &message)
{
    m_outbox[message.to].push_back(message.payload);
    if (!m_flushTimer.isActive()) {
        m_flushTimer = m_loop.schedule(microseconds(0), [this] { flushRegistryMessages(); });
    }
}

void PeerCoordinator::flushRegistryMessages()
{
    std::map<InstanceId, std::vector<RegistryPayload>> outbox;
    std::swap(outbox, m_outbox);
    for (const auto &[to, payloads] : outbox) {
        PeerClient *client = m_network.client(to);
        if (client == nullptr) {
            continue;
        }
        const std::vector<RegistryPayload> &messages = payloads;
        client->call(
                &PeerRpc::Peer::Client::registryRequest, MessageTimeout,
                [&messages](PeerRpc::Peer::RegistryParams::Builder params) {
                    const unsigned int n = static_cast<unsigned int>(messages.size());
                    capnp::List<PeerRpc::RegistryMessage>::Builder list = params.initMessages(n);
                    for (unsigned int i = 0; i < n; ++i) {
                        writeRegistryPayload(list[i], messages[i]);
                    }
                },
                [](PeerOutcome, const PeerRpc::Peer::RegistryResults::Reader *) {});
    }
}

void PeerCoordinator::refreshMembership()
{
    const ConfigurationPtr &configuration = m_state.configuration();
    if (configuration == nullptr) {
        return;
    }
    const MonotonicTime now = m_loop.now();
    std::map<InstanceId, EntryState> states;
    for (const auto &[id, domain] : configuration->topology.domains) {
        for (const EntrySeat &it : domain.entries) {
            states[it.id] = entryState(it.id, id, now);
        }
    }
    m_state.setEntryStates(std::move(states));
    chooseBackup();
}

EntryState PeerCoordinator::entryState(const InstanceId &instance, const FailureDomainId &domain,
                                       MonotonicTime now) const
{
    if (instance == m_settings.instance) {
        return m_isLeaving ? EntryState::Leaving : EntryState::Live;
    }
    switch (m_membership.state(instance, now)) {
    case MemberState::Live:
        return EntryState::Live;
    case MemberState::Leaving:
        return EntryState::Leaving;
    case MemberState::Gone:
        return EntryState::Unreachable;
    case MemberState::Suspect:
        break;
    }
    // Heartbeats of entries of other failure domains arrive over few relays only, so that missed
    // heartbeats are a weak sign of a failure there.
    return domain == m_settings.domain ? EntryState::Unreachable : EntryState::Live;
}

void PeerCoordinator::chooseBackup()
{
    const MonotonicTime now = m_loop.now();
    const Topology &topology = m_state.configuration()->topology;
    std::vector<FailureDomainId> domains{ m_settings.domain };
    for (const auto &[id, domain] : topology.domains) {
        if (id != m_settings.domain && domain.region == m_settings.region) {
            domains.push_back(id);
        }
    }
    // Entries of the own failure domain come first, since a network partition can separate it from
    // all other domains.
    for (const FailureDomainId &domain : domains) {
        for (const InstanceId &it : m_membership.ranked(domain, "backup", now)) {
            const std::optional<Incarnation> incarnation = m_membership.incarnation(it);
            if (it != m_settings.instance && incarnation.has_value()) {
                m_claims.setBackup(it, *incarnation);
                return;
            }
        }
    }
    m_claims.clearBackup();
}

void PeerCoordinator::readInstanceList()
{
    const FailureDomain *domain = ownDomain();
    const std::size_t entries =
            domain == nullptr ? 1 : std::max<std::size_t>(domain->entries.size(), 1);
    m_listTimer = m_loop.schedule(DomainListPeriod * static_cast<std::int64_t>(entries),
                                  [this] { readInstanceList(); });
    m_store.instances([this, alive = m_isAlive](const InstanceListing &listing) {
        if (*alive) {
            onInstanceList(listing);
        }
    });
}

void PeerCoordinator::onInstanceList(const InstanceListing &listing)
{
    if (listing.outcome != StoreOutcome::Done || m_state.configuration() == nullptr) {
        return;
    }
    const MonotonicTime now = m_loop.now();
    m_membership.onList(listing.instances, now);
    for (const auto &[id, target] : m_state.ownTargets()) {
        const MemberState state = m_membership.state(id, now);
        m_state.setListedLeaving(id, state == MemberState::Leaving || state == MemberState::Gone);
    }
}

std::size_t PeerCoordinator::reachablePeers() const
{
    const MonotonicTime oldest = m_loop.now() - MembershipOptions{}.silence;
    return static_cast<std::size_t>(
            std::count_if(m_reports.begin(), m_reports.end(),
                          [oldest](const std::pair<const InstanceId, PeerReport> &it) {
                              return it.second.lastHeartbeatAt >= oldest;
                          }));
}

} // namespace Tarragon
