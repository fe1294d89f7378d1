#pragma once

#include "entry/ProxiedRequest.h"
#include "entry/ProxyContext.h"
#include "net/HttpExchange.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>

namespace Tarragon {

/// Carries the requests of callers and of other entries to targets. Owns the requests in progress
/// and the order in which waiting ones get slots.
class RequestProxy
{
public:
    explicit RequestProxy(ProxyContext &context);

    /// Takes over a request under "/s/".
    void handle(const HttpExchangePtr &exchange);
    std::size_t requestsInProgress() const { return m_requests.size(); }
    /// Serves waiting requests and refuses those that have waited past their deadline; to be called
    /// at least every 50 ms and after slots have become free.
    void serveQueues();

private:
    void enqueue(const std::shared_ptr<ProxiedRequest> &request);
    void serveQueue(const ServiceId &service);
    void refuse(const RefusedTicket &refused);
    std::shared_ptr<ProxiedRequest> find(std::uint64_t number) const;

    ProxyContext &m_context;
    ProxiedRequest::Callbacks m_callbacks;
    std::uint64_t m_next = 1;
    std::map<std::uint64_t, std::shared_ptr<ProxiedRequest>> m_requests;
    /// Services with free slots that are served at the next turn of the loop, so that a request
    /// that ends does not start others from within its own callback.
    std::set<ServiceId> m_freed;
    Timer m_serveTimer;
};

} // namespace Tarragon
