#include "peer/PeerServer.h"

#include <log4cplus/loggingmacros.h>

#include <utility>

namespace Tarragon {

namespace {

log4cplus::Logger logger()
{
    return log4cplus::Logger::getInstance("peer");
}

/// Calls a handler and converts exceptions to kj exceptions, the only ones that kj accepts.
template<typename Slot, typename... Arguments>
kj::Promise<void> handle(const Slot &slot, Arguments... arguments)
{
    if (slot.empty())
        return KJ_EXCEPTION(UNIMPLEMENTED, "this entry has no handler for the call");
    try {
        slot(arguments...);
    } catch (const std::exception &error) {
        return KJ_EXCEPTION(FAILED, "the handler failed", error.what());
    }
    return kj::READY_NOW;
}

class PeerService final : public PeerRpc::Peer::Server
{
public:
    explicit PeerService(std::shared_ptr<const PeerHandlers> handlers)
        : m_handlers(std::move(handlers))
    {}

protected:
    kj::Promise<void> heartbeat(HeartbeatContext context) override
    {
        return handle(m_handlers->heartbeat, context.getParams().getMine(),
                      context.getResults().initTheirs());
    }
    kj::Promise<void> fetchHead(FetchHeadContext context) override
    {
        return handle(m_handlers->fetchHead, context.getParams(), context.getResults());
    }
    kj::Promise<void> fetchSection(FetchSectionContext context) override
    {
        return handle(m_handlers->fetchSection, context.getParams(), context.getResults());
    }
    kj::Promise<void> fetchPlan(FetchPlanContext context) override
    {
        return handle(m_handlers->fetchPlan, context.getParams(), context.getResults());
    }
    kj::Promise<void> offer(OfferContext context) override
    {
        return handle(m_handlers->offer, context.getParams());
    }
    kj::Promise<void> requestSlots(RequestSlotsContext context) override
    {
        return handle(m_handlers->requestSlots, context.getParams().getRequest(),
                      context.getResults().initResponse());
    }
    kj::Promise<void> registry(RegistryContext context) override
    {
        return handle(m_handlers->registry, context.getParams().getMessages());
    }
    kj::Promise<void> status(StatusContext context) override
    {
        return handle(m_handlers->status, context.getResults().initStatus());
    }
    kj::Promise<void> gossip(GossipContext context) override
    {
        return handle(m_handlers->gossip, context.getParams(), context.getResults());
    }

    kj::Promise<void> relay(RelayContext context) override
    {
        return handle(m_handlers->relay, context.getParams(), context.getResults());
    }
    kj::Promise<void> requestUsage(RequestUsageContext context) override
    {
        return handle(m_handlers->requestUsage, context.getParams(), context.getResults());
    }
    kj::Promise<void> requestPermit(RequestPermitContext context) override
    {
        return handle(m_handlers->requestPermit, context.getParams(), context.getResults());
    }
    kj::Promise<void> shareSuspects(ShareSuspectsContext context) override
    {
        return handle(m_handlers->shareSuspects, context.getParams());
    }
    kj::Promise<void> requestTrial(RequestTrialContext context) override
    {
        return handle(m_handlers->requestTrial, context.getParams(), context.getResults());
    }
    kj::Promise<void> endTrial(EndTrialContext context) override
    {
        return handle(m_handlers->endTrial, context.getParams());
    }

private:
    std::shared_ptr<const PeerHandlers> m_handlers;
};

} // namespace

PeerServer::PeerServer(EventLoop &loop, const std::string &address, std::uint16_t port,
                       PeerHandlers handlers)
    : m_handlers(std::make_shared<const PeerHandlers>(std::move(handlers)))
    , m_sessions(*this)
    , m_listener(loop, address, port, sigc::mem_fun(*this, &PeerServer::onConnection))
{}

PeerServer::~PeerServer() noexcept = default;

void PeerServer::onConnection(kj::Own<RpcStream> &stream)
{
    if (*m_connections >= MaxConnections) {
        LOG4CPLUS_WARN(logger(), "peer: Connection closed: the maximum number of connections is "
                                 "reached. connections="
                                         << *m_connections);
        return;
    }
    ++*m_connections;
    kj::Own<RpcSession> session =
            kj::heap<RpcSession>(kj::mv(stream), kj::heap<PeerService>(m_handlers));
    kj::Promise<void> ended = session->onDisconnect();
    m_sessions.add(ended.attach(kj::mv(session),
                                kj::defer([connections = m_connections] { --*connections; })));
}

void PeerServer::taskFailed(kj::Exception &&exception)
{
    LOG4CPLUS_DEBUG(logger(), "peer: Session failed. reason=" << exception.getDescription().cStr());
}

} // namespace Tarragon
