#include "peer/ConfigurationFeed.h"

#include "base/Error.h"
#include "document/DocumentParser.h"

#include <log4cplus/loggingmacros.h>

#include <utility>
#include <variant>

namespace Tarragon {

namespace {

constexpr const char *PlanKey = "plan/current";

log4cplus::Logger logger()
{
    return log4cplus::Logger::getInstance("feed");
}

std::string text(capnp::Text::Reader reader)
{
    return std::string(reader.begin(), reader.size());
}

capnp::Text::Reader text(const std::string &value)
{
    return { value.c_str(), value.size() };
}

const char *keyOf(FeedItem item)
{
    return item == FeedItem::Configuration ? HeadKey : PlanKey;
}

/// Returns the parsed head if its generation is above newerThan. The result is not ok if the text
/// cannot be parsed.
FetchedItem fetchedHead(const std::string &json, std::uint64_t newerThan)
{
    FetchedItem item;
    try {
        Head head = parseHead(json);
        item.ok = true;
        if (head.generation.value() > newerThan) {
            item.version = head.generation.value();
            item.head = std::move(head);
        }
    } catch (const Error &error) {
        LOG4CPLUS_WARN(logger(), "Ignoring a head that cannot be parsed. reason=" << error.what());
    }
    return item;
}

/// Returns the plan if its version is above newerThan.
FetchedItem fetchedPlan(const std::string &json, std::uint64_t version, std::uint64_t newerThan)
{
    FetchedItem item;
    item.ok = true;
    if (version > newerThan) {
        item.version = version;
        item.plan = json;
    }
    return item;
}

} // namespace

ConfigurationFeed::ConfigurationFeed(EventLoop &loop, ObjectStoreClient &store,
                                     PeerNetwork &network, PeerIdentity self,
                                     const std::vector<PeerEndpoint> &peers,
                                     const DisseminationOptions &options, std::uint64_t seed)
    : m_loop(loop)
    , m_store(store)
    , m_network(network)
    , m_self(std::move(self))
    , m_options(options)
    , m_dissemination(m_self, options, seed, loop.now())
{
    setPeers(peers);
    m_tick = m_loop.scheduleEvery(TickPeriod, [this] {
        FeedActions actions;
        m_dissemination.tick(m_loop.now(), actions);
        perform(actions);
    });
}

ConfigurationFeed::~ConfigurationFeed()
{
    *m_isAlive = false;
}

void ConfigurationFeed::setPeers(const std::vector<PeerEndpoint> &peers)
{
    m_network.setPeers(peers);
    std::vector<PeerIdentity> identities;
    identities.reserve(peers.size());
    for (const PeerEndpoint &peer : peers)
        identities.push_back(peer.identity);
    m_dissemination.setPeers(identities);
}

void ConfigurationFeed::serve(PeerHandlers &handlers)
{
    handlers.heartbeat = [this](PeerRpc::Heartbeat::Reader mine,
                                PeerRpc::Heartbeat::Builder theirs) {
        onHeartbeat(mine);
        fillHeartbeat(theirs, InstanceId());
    };
    handlers.fetchHead = [this](PeerRpc::Peer::FetchHeadParams::Reader params,
                                PeerRpc::Peer::FetchHeadResults::Builder results) {
        if (versions().generation.value() <= params.getNewerThan())
            return;
        results.setGeneration(versions().generation.value());
        results.setHead(text(m_headJson));
    };
    handlers.fetchSection = [this](PeerRpc::Peer::FetchSectionParams::Reader params,
                                   PeerRpc::Peer::FetchSectionResults::Builder results) {
        const SectionName name(text(params.getName()));
        const auto reference = m_dissemination.head().sections.find(name);
        if (reference == m_dissemination.head().sections.end()
            || reference->second.digest != text(params.getDigest()))
            return;
        results.setFound(true);
        results.setText(text(m_dissemination.texts().at(name)));
    };
    handlers.fetchPlan = [this](PeerRpc::Peer::FetchPlanParams::Reader params,
                                PeerRpc::Peer::FetchPlanResults::Builder results) {
        if (versions().plan.value() <= params.getNewerThan())
            return;
        results.setPlanVersion(versions().plan.value());
        results.setPlan(text(m_dissemination.planJson()));
    };
    handlers.offer = sigc::mem_fun(*this, &ConfigurationFeed::onOffer);
}

void ConfigurationFeed::acceptLocally(const Head &head, const SectionTexts &texts)
{
    FeedActions actions;
    m_dissemination.acceptLocally(head, texts, m_loop.now(), actions);
    perform(actions);
}

void ConfigurationFeed::acceptPlanLocally(PlanVersion version, const std::string &json)
{
    FeedActions actions;
    m_dissemination.acceptPlanLocally(version, json, m_loop.now(), actions);
    perform(actions);
}

void ConfigurationFeed::perform(const FeedActions &actions)
{
    for (const FeedAction &action : actions)
        std::visit([this](const auto &single) { carryOut(single); }, action);
}

void ConfigurationFeed::carryOut(const SendHeartbeat &action)
{
    PeerClient *client = m_network.client(action.to);
    if (client == nullptr)
        return;
    client->call(
            &PeerRpc::Peer::Client::heartbeatRequest, 2 * m_options.heartbeatPeriod,
            [this, &action](PeerRpc::Peer::HeartbeatParams::Builder params) {
                fillHeartbeat(params.initMine(), action.to);
            },
            [this, alive = m_isAlive](PeerOutcome outcome,
                                      const PeerRpc::Peer::HeartbeatResults::Reader *results) {
                if (*alive && outcome == PeerOutcome::Done)
                    onHeartbeat(results->getTheirs());
            });
}

void ConfigurationFeed::carryOut(const SendOffer &action)
{
    PeerClient *client = m_network.client(action.to);
    if (client == nullptr)
        return;
    // The outcome is ignored: heartbeats also carry the versions and so repair a lost offer.
    client->call(
            &PeerRpc::Peer::Client::offerRequest, m_options.peerTimeout,
            [this, &action](PeerRpc::Peer::OfferParams::Builder params) {
                params.initSender().setInstance(text(m_self.id.value()));
                params.setGeneration(action.versions.generation.value());
                params.setPlanVersion(action.versions.plan.value());
            },
            [](PeerOutcome, const PeerRpc::Peer::OfferResults::Reader *) {});
}

void ConfigurationFeed::carryOut(const FetchItem &action)
{
    if (!action.from) {
        readStore(action);
        return;
    }
    PeerClient *client = m_network.client(*action.from);
    // A fetch from a peer that has left the topology ends with the timeout in Dissemination.
    if (client == nullptr)
        return;
    const std::uint64_t newerThan = action.newerThan;
    if (action.item == FeedItem::Configuration) {
        client->call(
                &PeerRpc::Peer::Client::fetchHeadRequest, m_options.peerTimeout,
                [newerThan](PeerRpc::Peer::FetchHeadParams::Builder params) {
                    params.setNewerThan(newerThan);
                },
                [this, alive = m_isAlive,
                 action](PeerOutcome outcome,
                         const PeerRpc::Peer::FetchHeadResults::Reader *results) {
                    if (!*alive)
                        return;
                    FetchedItem item;
                    if (outcome == PeerOutcome::Done && results->getGeneration() == 0) {
                        item.ok = true;
                    } else if (outcome == PeerOutcome::Done) {
                        item = fetchedHead(text(results->getHead()), action.newerThan);
                    }
                    onItem(action.number, item);
                });
        return;
    }
    client->call(
            &PeerRpc::Peer::Client::fetchPlanRequest, m_options.peerTimeout,
            [newerThan](PeerRpc::Peer::FetchPlanParams::Builder params) {
                params.setNewerThan(newerThan);
            },
            [this, alive = m_isAlive,
             action](PeerOutcome outcome, const PeerRpc::Peer::FetchPlanResults::Reader *results) {
                if (!*alive)
                    return;
                FetchedItem item;
                if (outcome == PeerOutcome::Done) {
                    item = fetchedPlan(text(results->getPlan()), results->getPlanVersion(),
                                       action.newerThan);
                }
                onItem(action.number, item);
            });
}

void ConfigurationFeed::carryOut(const FetchSection &action)
{
    if (!action.from) {
        ++m_storeCalls;
        m_store.get(sectionObjectKey(action.name, action.digest),
                    [this, alive = m_isAlive, action](const StoredObject &object) {
                        if (!*alive)
                            return;
                        std::optional<std::string> value;
                        if (object.outcome == StoreOutcome::Done)
                            value = object.value;
                        onSection(action.number, action.name, value);
                    });
        return;
    }
    PeerClient *client = m_network.client(*action.from);
    if (client == nullptr)
        return;
    client->call(
            &PeerRpc::Peer::Client::fetchSectionRequest, m_options.peerTimeout,
            [&action](PeerRpc::Peer::FetchSectionParams::Builder params) {
                params.setName(text(action.name.value()));
                params.setDigest(text(action.digest));
            },
            [this, alive = m_isAlive,
             action](PeerOutcome outcome,
                     const PeerRpc::Peer::FetchSectionResults::Reader *results) {
                if (!*alive)
                    return;
                std::optional<std::string> value;
                if (outcome == PeerOutcome::Done && results->getFound())
                    value = text(results->getText());
                onSection(action.number, action.name, value);
            });
}

void ConfigurationFeed::carryOut(const AdoptConfiguration &action)
{
    m_headJson = serializeHead(action.head);
    Findings findings;
    std::optional<Configuration> parsed = parseDocument(action.texts, "", findings);
    if (!parsed) {
        // Only valid documents are accepted, so the accepting instance runs another software
        // version that allows what this one does not.
        LOG4CPLUS_ERROR(
                logger(),
                "Accepted document is not valid for this software version, so the configuration "
                "in force is kept. generation="
                        << action.head.generation << " finding=\""
                        << (findings.empty() ? "" : toString(findings.front())) << "\"");
        return;
    }
    parsed->generation = action.head.generation;
    m_configuration = std::make_shared<const Configuration>(std::move(*parsed));
    setPeers(peerEndpoints(m_configuration->topology));
    LOG4CPLUS_INFO(logger(), "Configuration in force. generation=" << action.head.generation);
    m_adopted.emit(m_configuration, action.head, action.texts);
}

void ConfigurationFeed::carryOut(const AdoptPlan &action)
{
    LOG4CPLUS_INFO(logger(), "Plan in force. version=" << action.version);
    m_planAdopted.emit(action.json, action.version);
}

void ConfigurationFeed::readStore(const FetchItem &action)
{
    ++m_storeCalls;
    if (action.wait.count() == 0) {
        getFromStore(action);
        return;
    }
    m_store.watch(keyOf(action.item), m_revisions[action.item], action.wait,
                  [this, alive = m_isAlive, action](const ObjectListing &listing) {
                      if (!*alive)
                          return;
                      if (listing.outcome != StoreOutcome::Done) {
                          // The store may have been restored from a copy.
                          m_revisions.erase(action.item);
                          onItem(action.number, FetchedItem());
                          return;
                      }
                      // The object is read even if the watch ended without a change: the
                      // revision counts the changes of all objects, and a restarted store may
                      // count from the start again.
                      m_revisions[action.item] = listing.revision;
                      ++m_storeCalls;
                      getFromStore(action);
                  });
}

void ConfigurationFeed::getFromStore(const FetchItem &action)
{
    m_store.get(keyOf(action.item), [this, alive = m_isAlive, action](const StoredObject &object) {
        if (*alive)
            onStoredItem(action, object);
    });
}

void ConfigurationFeed::onStoredItem(const FetchItem &action, const StoredObject &object)
{
    FetchedItem item;
    if (object.outcome == StoreOutcome::NotFound) {
        item.ok = true;
    } else if (object.outcome == StoreOutcome::Done && action.item == FeedItem::Configuration) {
        item = fetchedHead(object.value, action.newerThan);
    } else if (object.outcome == StoreOutcome::Done) {
        item = fetchedPlan(object.value, object.version.value(), action.newerThan);
    }
    onItem(action.number, item);
}

void ConfigurationFeed::onItem(std::uint64_t number, const FetchedItem &item)
{
    FeedActions actions;
    m_dissemination.onItem(number, item, m_loop.now(), actions);
    perform(actions);
}

void ConfigurationFeed::onSection(std::uint64_t number, const SectionName &name,
                                  const std::optional<std::string> &text)
{
    FeedActions actions;
    m_dissemination.onSection(number, name, text, m_loop.now(), actions);
    perform(actions);
}

void ConfigurationFeed::fillHeartbeat(PeerRpc::Heartbeat::Builder heartbeat, const InstanceId &to)
{
    const FeedReport report = m_dissemination.report();
    heartbeat.initSender().setInstance(text(m_self.id.value()));
    heartbeat.setFailureDomain(text(m_self.domain.value()));
    heartbeat.setGeneration(report.versions.generation.value());
    heartbeat.setPlanVersion(report.versions.plan.value());
    heartbeat.setStoreReachable(report.storeReachable);
    if (!m_heartbeatSource.empty())
        m_heartbeatSource(heartbeat, to);
}

void ConfigurationFeed::onHeartbeat(PeerRpc::Heartbeat::Reader heartbeat)
{
    FeedReport report;
    report.sender = InstanceId(text(heartbeat.getSender().getInstance()));
    report.versions = { Generation(heartbeat.getGeneration()),
                        PlanVersion(heartbeat.getPlanVersion()) };
    report.storeReachable = heartbeat.getStoreReachable();
    FeedActions actions;
    m_dissemination.onReport(report, m_loop.now(), actions);
    perform(actions);
    m_heartbeatReceived.emit(heartbeat);
}

void ConfigurationFeed::onOffer(PeerRpc::Peer::OfferParams::Reader offer)
{
    FeedActions actions;
    m_dissemination.onOffer(
            InstanceId(text(offer.getSender().getInstance())),
            { Generation(offer.getGeneration()), PlanVersion(offer.getPlanVersion()) },
            m_loop.now(), actions);
    perform(actions);
}

} // namespace Tarragon
