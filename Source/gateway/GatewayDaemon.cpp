#include "gateway/GatewayDaemon.h"

#include "base/Digest.h"
#include "gateway/CallerLimits.h"
#include "gateway/PermitRpc.h"
#include "gateway/RelayCalls.h"
#include "gateway/RelayCodec.h"
#include "gateway/RoutedRequest.h"
#include "gateway/SuspectCodec.h"
#include "gateway/TargetFeed.h"
#include "gateway/TrialRpc.h"
#include "gateway/UsageRpc.h"
#include "net/ConnectionCloses.h"
#include "net/HttpStatus.h"
#include "net/LogLine.h"
#include "net/MemoryMetrics.h"
#include "platform/LookupCodec.h"
#include "platform/RegistryDecoder.h"
#include "platform/RequestCodec.h"
#include "platform/RouteTableDecoder.h"
#include "routing/EntryChoice.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <utility>

namespace Tarragon {

namespace {

/// Period of the tick that checks retained targets, entry counts and the shutdown.
constexpr milliseconds TickPeriod{ 100 };
/// Delay of the tick from which on it is logged. Callers that keep a connection for four fifths of
/// the shortest idle limit, 1 s, are within 200 ms of its end.
constexpr milliseconds LoggedLoopLag{ 200 };
/// Batch time of target changes. Targets change most often, many of them at the same time. The
/// pause is a fifth of 2.5 s, the shortest time within which a leaving target must no longer
/// receive requests.
constexpr milliseconds TargetBatchTime{ 500 };
constexpr milliseconds OperatorBatchTime{ 300 };
/// Period in which changes of the targets' limits are logged, so that a target whose limit varies
/// with each response adds one line a second, and in which unused limits are removed.
constexpr milliseconds LimitUpkeepPeriod{ 1'000 };
/// Period in which subscriptions are checked for pending work.
constexpr seconds SubscriptionCheckPeriod{ 5 };
/// Options for entry registrations. They may arrive late, because gossip shows which entries are
/// responsive. A watch whose response is lost is repeated after its timeout, which is short because
/// the relay does not verify this kind.
constexpr SubscriptionOptions EntryOptions{ milliseconds(1'000), true, true, false,
                                            milliseconds(5'000) };
/// Time for which evacuations stay in force that are missing since the store was restored from a
/// copy; the operator writes them again meanwhile.
constexpr seconds RestoredEvacuationRetention{ 3 };
/// Time for which callers may cache the result of a lookup. A longer time reduces the number of
/// lookups, a shorter one moves callers sooner away from an entry that stops.
constexpr milliseconds LookupTtl{ 3'000 };
/// Fraction of the grace time after the stop signal during which new connections are still
/// accepted, because callers use cached lookup results.
constexpr double AcceptFractionOfGrace = 0.5;
/// The process exits this long before the platform would kill it.
constexpr milliseconds StopMargin{ 300 };

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("gateway");
    return instance;
}

EntryRecord recordOf(const GatewaySettings &settings, Incarnation incarnation)
{
    EntryRecord record;
    record.instance = settings.instance;
    record.domain = settings.domain;
    record.region = settings.region;
    record.incarnation = incarnation;
    record.front = settings.front;
    record.rpc = settings.rpc;
    record.issuesPermits = true;
    record.issuesColdPermits = true;
    record.issuesTrials = true;
    record.issuesUsage = true;
    record.capacity = settings.capacity();
    return record;
}

LogLine targetLine(const TargetChange &change)
{
    LogLine line("gateway", "target");
    line.add("target", change.target).add("service", change.service).add("change", change.change);
    return line;
}

void logTargetChanges(const std::vector<TargetChange> &changes)
{
    for (const TargetChange &it : changes) {
        LOG4CPLUS_INFO(logger(), targetLine(it).text());
    }
}

void logLimitChanges(const std::vector<TargetLimitChange> &changes)
{
    for (const TargetLimitChange &it : changes) {
        LogLine line("gateway", "target-limit");
        line.add("target", it.target).add("limited", it.limit.rate.has_value());
        if (it.limit.rate.has_value()) {
            line.add("perSecond", *it.limit.rate);
        }
        line.add("version", it.limit.version);
        LOG4CPLUS_INFO(logger(), line.text());
    }
}

} // namespace

GatewayDaemon::GatewayDaemon(EventLoop &loop, const GatewaySettings &settings, const LogBuffer &log)
    : m_loop(loop)
    , m_settings(settings)
    , m_incarnation(strongRandom() >> 1U)
    , m_rpc(loop.base())
    , m_client(loop)
    , m_store(m_client, settings.store)
    , m_state(settings, settings.bounds)
    , m_log(log)
    , m_successSampler(log, settings.loggedSuccessesPerSecond)
    , m_membership(recordOf(settings, m_incarnation), m_incarnation.value())
    , m_permits(m_membership, m_state.limits(),
                [this](const InstanceId &issuer, const PermitRequest &request,
                       const TargetPermits::ReplySlot &replied) {
                    requestPermit(m_loop, m_gossip.client(issuer), request, replied);
                })
    , m_trials(
              m_membership, m_state.suspects(),
              [this](const InstanceId &issuer, const TrialRequest &request,
                     const RequestTrials::ReplySlot &replied) {
                  requestTrial(m_loop, m_gossip.client(issuer), request, replied);
              },
              [this](const InstanceId &issuer, const SuspectRecord &suspect) {
                  endTrial(m_gossip.client(issuer), suspect);
              })
    , m_usageCaps(m_membership,
                  [this](const InstanceId &issuer, const UsageRequests &requests,
                         const UsageCaps::RepliesSlot &replied) {
                      requestUsage(m_loop, m_gossip.client(issuer), requests, replied);
                  })
    , m_context{ loop,     m_client,    m_state,   m_permits,
                 m_trials, m_usageCaps, m_metrics, m_successSampler }
    , m_registration(loop, m_store, m_membership, m_incarnation.value())
    , m_gossip(loop, m_membership, m_state.limits(), m_state.suspects(), settings.rpc,
               m_incarnation.value(), peerHandlers())
    , m_suspectSharing(loop, m_membership, m_state.suspects(),
                       [this](const InstanceId &entry) { return m_gossip.client(entry); })
    , m_relay(loop, m_membership, m_health, m_store, relayCalls(m_gossip), settings.isFirstStart)
    , m_lastTickAt(loop.now())
{
    m_health.becameUnavailable().connect(sigc::mem_fun(*this, &GatewayDaemon::onStoreUnavailable));
    m_health.becameAvailable().connect(sigc::mem_fun(*this, &GatewayDaemon::onStoreAvailable));
    m_registration.changed().connect([this] {
        m_gossip.setRecords(m_registration.records());
        m_relay.start();
    });
    listen();
    subscribeToStore();
    m_registration.start();
    m_tick = loop.scheduleEvery(TickPeriod, [this] { tick(); });
    m_limitUpkeep = loop.scheduleEvery(LimitUpkeepPeriod, [this] { maintainLimits(); });
    m_subscriptionCheck =
            loop.scheduleEvery(SubscriptionCheckPeriod, [this] { reportStalledSubscriptions(); });
    LOG4CPLUS_INFO(logger(), LogLine("gateway", "started")
                                     .add("instance", settings.instance)
                                     .add("failureDomain", settings.domain)
                                     .add("region", settings.region)
                                     .add("incarnation", m_incarnation)
                                     .text());
}

GatewayDaemon::~GatewayDaemon() = default;

void GatewayDaemon::listen()
{
    m_front = std::make_unique<HttpServer>(
            m_loop, m_settings.front.address, m_settings.front.port, HttpServerLimits{},
            [this](const HttpExchangePtr &exchange) { RoutedRequest::begin(m_context, exchange); });
    m_readiness = std::make_unique<HttpServer>(
            m_loop, m_settings.readiness.address, m_settings.readiness.port, HttpServerLimits{},
            [this](const HttpExchangePtr &exchange) { answerReadiness(exchange); });
    m_lookup = std::make_unique<HttpServer>(
            m_loop, m_settings.lookup.address, m_settings.lookup.port, HttpServerLimits{},
            [this](const HttpExchangePtr &exchange) { answerLookup(exchange); });
    ConnectionCloses::ofProcess().setRequestIdField(Platform::requestIdField());
    m_metricsServer = std::make_unique<HttpServer>(
            m_loop, m_settings.metrics.address, m_settings.metrics.port, HttpServerLimits{},
            [this](const HttpExchangePtr &exchange) {
                HttpHeaders headers;
                headers.add("Content-Type", "text/plain; version=0.0.4");
                exchange->reply(HttpStatus::Ok, headers, metricsText());
            });
}

std::unique_ptr<KindSubscription> GatewayDaemon::subscribe(const std::string &kind,
                                                           KindSubscription::Handlers handlers,
                                                           const SubscriptionOptions &options)
{
    return std::make_unique<KindSubscription>(m_loop, m_store, m_health, kind, std::move(handlers),
                                              m_incarnation.value() ^ stableHash(kind), options);
}

PeerHandlers GatewayDaemon::peerHandlers()
{
    PeerHandlers handlers;
    handlers.relay = [this](PeerRpc::Peer::RelayParams::Reader question,
                            PeerRpc::Peer::RelayResults::Builder answer) {
        m_relay.fillReply(question, answer);
    };
    handlers.requestPermit = [this](PeerRpc::Peer::RequestPermitParams::Reader question,
                                    PeerRpc::Peer::RequestPermitResults::Builder answer) {
        const PermitRequest request = decodePermitRequest(question);
        fillPermitReply(answer, m_permits.answer(request, m_loop.now()));
    };
    handlers.requestTrial = [this](PeerRpc::Peer::RequestTrialParams::Reader question,
                                   PeerRpc::Peer::RequestTrialResults::Builder answer) {
        fillTrialReply(answer, m_trials.answer(decodeTrialRequest(question), m_loop.now()));
    };
    handlers.requestUsage = [this](PeerRpc::Peer::RequestUsageParams::Reader question,
                                   PeerRpc::Peer::RequestUsageResults::Builder answer) {
        fillUsageReplies(answer, m_usageCaps.answer(decodeUsageRequests(question), m_loop.now()));
    };
    handlers.endTrial = [this](PeerRpc::Peer::EndTrialParams::Reader params) {
        m_trials.onEnded(decodeSuspect(params.getSuspect()), m_loop.now());
    };
    handlers.shareSuspects = [this](PeerRpc::Peer::ShareSuspectsParams::Reader params) {
        m_suspectSharing.receive(params);
    };
    return handlers;
}

void GatewayDaemon::subscribeToStore()
{
    const bool confirmImmediately = !m_settings.isFirstStart;
    const SubscriptionOptions targetOptions{ TargetBatchTime, true, false, confirmImmediately };
    const SubscriptionOptions operatorOptions{ OperatorBatchTime, true, false, confirmImmediately };
    m_routeSubscription = subscribe(Platform::DesiredStateKind,
                                    { sigc::mem_fun(*this, &GatewayDaemon::onRouteTables),
                                      sigc::mem_fun(*this, &GatewayDaemon::onRouteTableChanges) },
                                    operatorOptions);
    m_targetSubscription = subscribe(Platform::TargetKind,
                                     { sigc::mem_fun(*this, &GatewayDaemon::onTargets),
                                       sigc::mem_fun(*this, &GatewayDaemon::onTargetChanges) },
                                     targetOptions);
    m_evacuationSubscription =
            subscribe(Platform::EvacuationKind,
                      { sigc::mem_fun(*this, &GatewayDaemon::onEvacuations),
                        sigc::mem_fun(*this, &GatewayDaemon::onEvacuationChanges) },
                      operatorOptions);
    m_entrySubscription =
            subscribe(Platform::EntryKind,
                      { [this](const std::vector<Platform::StoredItem> &items) {
                           m_registration.onSnapshot(items, m_entrySubscription->isRestored());
                       },
                        sigc::mem_fun(m_registration, &EntryRegistration::onChanges) },
                      EntryOptions);
    for (KindSubscription *it : { m_routeSubscription.get(), m_targetSubscription.get(),
                                  m_evacuationSubscription.get() }) {
        m_relay.add(*it);
    }
    m_routeSubscription->start();
    m_targetSubscription->start();
    m_evacuationSubscription->start();
    m_entrySubscription->start();
}

void GatewayDaemon::onStoreUnavailable(const std::string &reason)
{
    LOG4CPLUS_WARN(logger(), LogLine("gateway", "store-lost").add("reason", reason).text());
    m_metrics.setStoreUnavailable(true);
    m_state.registry().onStoreUnavailable(m_loop.now());
}

void GatewayDaemon::onStoreAvailable()
{
    LOG4CPLUS_INFO(logger(), LogLine("gateway", "store-regained").text());
    m_metrics.setStoreUnavailable(false);
    m_state.registry().onStoreAvailable(m_loop.now(), m_health.lastFailureBeganAt());
}

void GatewayDaemon::onRouteTables(const std::vector<Platform::StoredItem> &items)
{
    for (const Platform::StoredItem &it : items) {
        onRouteTable(it);
    }
}

void GatewayDaemon::onRouteTableChanges(const std::vector<Platform::StoredChange> &changes)
{
    for (const Platform::StoredChange &it : changes) {
        if (!it.isRemoval) {
            onRouteTable(it.item);
        }
    }
}

void GatewayDaemon::onRouteTable(const Platform::StoredItem &item)
{
    if (item.name != Platform::DesiredStateName) {
        return;
    }
    try {
        if (!m_state.adopt(Platform::decodeRouteTable(item.spec))) {
            return;
        }
    } catch (const std::exception &error) {
        LOG4CPLUS_ERROR(logger(), LogLine("gateway", "route-table-refused")
                                          .add("era", item.revision.era)
                                          .add("revision", item.revision.number)
                                          .add("reason", error.what())
                                          .text());
        return;
    }
    const RouteTable &table = *m_state.table();
    m_state.refreshTargets(m_loop.now());
    m_front->setLimits(callerLimits(table.limits));
    m_metrics.setRouteVersion(table.version.value());
    LOG4CPLUS_INFO(logger(), LogLine("gateway", "route-table-adopted")
                                     .add("version", table.version)
                                     .add("era", item.revision.era)
                                     .add("revision", item.revision.number)
                                     .add("routes", table.routes.size())
                                     .text());
}

void GatewayDaemon::onTargets(const std::vector<Platform::StoredItem> &items)
{
    applyTargetSnapshot(m_state.registry(), items, m_loop.now(),
                        m_targetSubscription->changesMadeAfter(),
                        m_targetSubscription->isRestored());
    afterTargetChange();
}

void GatewayDaemon::onTargetChanges(const std::vector<Platform::StoredChange> &changes)
{
    applyTargetChanges(m_state.registry(), changes, m_loop.now(),
                       m_targetSubscription->changesMadeAfter());
    afterTargetChange();
}

void GatewayDaemon::onEvacuations(const std::vector<Platform::StoredItem> &items)
{
    if (m_evacuationSubscription->isRestored()) {
        m_keptEvacuations = m_evacuated;
        m_keptEvacuationsTimer = m_loop.schedule(RestoredEvacuationRetention, [this] {
            m_keptEvacuations.clear();
            applyEvacuations();
        });
    }
    m_evacuated.clear();
    for (const Platform::StoredItem &it : items) {
        m_evacuated.insert(FailureDomainId(it.name));
    }
    applyEvacuations();
}

void GatewayDaemon::onEvacuationChanges(const std::vector<Platform::StoredChange> &changes)
{
    for (const Platform::StoredChange &it : changes) {
        const FailureDomainId domain(it.item.name);
        if (it.isRemoval) {
            m_evacuated.erase(domain);
        } else {
            m_evacuated.insert(domain);
        }
    }
    applyEvacuations();
}

void GatewayDaemon::applyEvacuations()
{
    std::set<FailureDomainId> domains = m_evacuated;
    domains.insert(m_keptEvacuations.begin(), m_keptEvacuations.end());
    m_state.registry().setEvacuated(domains, m_loop.now());
    afterTargetChange();
}

void GatewayDaemon::afterTargetChange()
{
    m_state.refreshTargets(m_loop.now());
    logRegistryChanges(m_state.registry().takeTargetChanges());
    m_metrics.setReadyTargetCount(m_state.readyTargets());
}

void GatewayDaemon::logRegistryChanges(const std::vector<TargetChange> &changes) const
{
    const std::optional<MonotonicTime> &madeAfter = m_targetSubscription->changesMadeAfter();
    for (const TargetChange &it : changes) {
        LogLine line = targetLine(it);
        line.add("source", toString(m_targetSubscription->source()));
        if (madeAfter.has_value()) {
            line.add("maxAgeMs", m_loop.now() - *madeAfter);
        }
        LOG4CPLUS_INFO(logger(), line.text());
    }
}

void GatewayDaemon::answerLookup(const HttpExchangePtr &exchange)
{
    if (!Platform::isLookup(*exchange)) {
        exchange->reply(HttpStatus::NotFound, {}, "");
        return;
    }
    const Platform::LookupQuery question = Platform::decodeLookup(*exchange);
    std::vector<EntryRecord> entries;
    if (m_state.table() != nullptr) {
        entries = chooseEntries(m_membership, *m_state.table(), question.host, question.region,
                                exchange->remoteAddress(), m_loop.now());
    }
    if (entries.empty()) {
        exchange->reply(HttpStatus::ServiceUnavailable,
                        Platform::encodeLocalResponseHeaders({}, LookupTtl), "");
        return;
    }
    std::vector<Endpoint> addresses;
    addresses.reserve(entries.size());
    for (const EntryRecord &it : entries) {
        addresses.push_back(it.front);
    }
    const milliseconds ttl = std::min(LookupTtl, m_settings.bounds.maxLookupTtl);
    exchange->reply(HttpStatus::Ok, Platform::encodeLocalResponseHeaders({}, milliseconds(0)),
                    Platform::encodeLookupResponse(addresses, ttl));
}

void GatewayDaemon::answerReadiness(const HttpExchangePtr &exchange)
{
    if (!Platform::isReadinessCheck(*exchange)) {
        exchange->reply(HttpStatus::NotFound, {}, "");
        return;
    }
    exchange->reply(isReady() ? HttpStatus::Ok : HttpStatus::ServiceUnavailable, {}, "");
}

bool GatewayDaemon::isReady() const
{
    return m_state.canServe() && !m_shutdownStartedAt.has_value();
}

GatewayDaemon::Ports GatewayDaemon::ports() const
{
    return Ports{ m_front->port(), m_readiness->port(), m_lookup->port(), m_metricsServer->port() };
}

void GatewayDaemon::run()
{
    m_rpc.run();
}

void GatewayDaemon::beginShutdown()
{
    if (m_shutdownStartedAt.has_value()) {
        return;
    }
    m_shutdownStartedAt = m_loop.now();
    m_state.setStopTime(*m_shutdownStartedAt + m_settings.bounds.stopGrace - StopMargin
                        - TickPeriod);
    m_front->closeAfterResponses();
    m_membership.setServing(false);
    m_gossip.announce();
    m_registration.deregister();
    LOG4CPLUS_INFO(
            logger(),
            LogLine("gateway", "leaving").add("inProgress", m_front->exchangesInProgress()).text());
}

void GatewayDaemon::applySettings(const GatewaySettings &settings)
{
    m_settings.bounds = settings.bounds;
    m_state.setBounds(settings.bounds);
    const bool needsStart = settings != m_settings;
    LOG4CPLUS_INFO(logger(), LogLine("gateway", "reloaded").add("needsStart", needsStart).text());
}

void GatewayDaemon::tick()
{
    const MonotonicTime now = m_loop.now();
    const bool isLeaving = m_state.markLeavingTargets(now);
    if (m_state.registry().removeExpired(now) || isLeaving) {
        afterTargetChange();
    }
    if (m_entrySubscription->hasSnapshot()) {
        m_state.setEntryCount(m_membership.entryCount());
    }
    for (const auto &[service, dispatcher] : m_state.dispatchers()) {
        logTargetChanges(dispatcher->takeTargetChanges());
    }
    m_membership.setServing(isReady());
    const microseconds lag = now - m_lastTickAt - TickPeriod;
    m_metrics.recordLoopLag(lag);
    if (lag >= LoggedLoopLag) {
        LOG4CPLUS_WARN(logger(), LogLine("gateway", "loop-held-up").add("lagMs", lag).text());
    }
    m_lastTickAt = now;
    checkShutdown();
}

void GatewayDaemon::maintainLimits()
{
    logLimitChanges(m_state.limits().takeChanges());
    for (const TargetId &it : m_state.limits().takeMalformed()) {
        LOG4CPLUS_WARN(logger(), LogLine("gateway", "limit-ignored").add("target", it).text());
    }
    m_permits.removeUnused(m_loop.now());
    m_trials.removeUnused(m_loop.now());
    m_usageCaps.removeUnused(m_loop.now());
}

void GatewayDaemon::reportStalledSubscriptions() const
{
    for (const KindSubscription *it :
         { m_routeSubscription.get(), m_targetSubscription.get(), m_evacuationSubscription.get(),
           m_entrySubscription.get() }) {
        if (!it->hasPendingWork()) {
            LOG4CPLUS_ERROR(logger(), LogLine("gateway", "subscription-stalled")
                                              .add("kind", it->kind())
                                              .add("listed", it->isListed())
                                              .add("source", toString(it->source()))
                                              .text());
        }
    }
}

std::string GatewayDaemon::metricsText()
{
    const MonotonicTime now = m_loop.now();
    m_metrics.setLimitedTargetCount(m_state.limits().limitedCount());
    m_metrics.setSuspectCount(m_state.suspects().count());
    m_metrics.setUsage(m_usageCaps.counts());
    m_metrics.setLiveEntryCount(m_membership.liveCount(now));
    m_metrics.setRequestsInProgress(m_front->exchangesInProgress());
    m_metrics.setStoreAge(m_health.lastSuccessAt().has_value() ? now - *m_health.lastSuccessAt()
                                                               : microseconds(0));
    if (const std::optional<MonotonicTime> confirmedAt = m_targetSubscription->confirmedAt()) {
        m_metrics.setTargetViewAge(now - *confirmedAt);
    }
    m_metrics.setLogLines(m_log.dropped(), m_successSampler.skipped());
    for (const auto &[service, budget] : m_state.retryBudgets()) {
        m_metrics.setRetriesLeft(service, budget.available(now));
    }
    for (const auto &[service, dispatcher] : m_state.dispatchers()) {
        m_metrics.setSendsInProgress(service, dispatcher->sendsInProgress());
    }
    return m_metrics.text()
           + memoryMetricsText("tarragon_gateway", MemoryBudget::ofProcess().counts())
           + ConnectionCloses::ofProcess().metricsText("tarragon_gateway_client");
}

bool GatewayDaemon::stopServers()
{
    m_front->stopListening();
    if (!m_front->isQuiet()) {
        return false;
    }
    // Lookups, readiness checks and metrics are answered for as long as requests are.
    bool isQuiet = true;
    for (HttpServer *it : { m_lookup.get(), m_readiness.get(), m_metricsServer.get() }) {
        it->closeAfterResponses();
        it->stopListening();
        isQuiet = it->isQuiet() && isQuiet;
    }
    return isQuiet;
}

void GatewayDaemon::checkShutdown()
{
    if (!m_shutdownStartedAt.has_value()) {
        return;
    }
    const microseconds age = m_loop.now() - *m_shutdownStartedAt;
    const milliseconds grace = m_settings.bounds.stopGrace;
    if (age < scaled(grace, AcceptFractionOfGrace)) {
        return;
    }
    const bool isQuiet = stopServers();
    if (isQuiet || age >= grace - StopMargin) {
        LOG4CPLUS_INFO(logger(), LogLine("gateway", "stopped")
                                         .add("inProgress", m_front->exchangesInProgress())
                                         .add("lingering", m_front->lingeringCount())
                                         .add("quiet", isQuiet)
                                         .text());
        m_rpc.stop();
    }
}

} // namespace Tarragon
