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
/// and gives free slots to the queued ones.
class RequestProxy
{
public:
    explicit RequestProxy(ProxyContext &context);

    /// Starts carrying a request under "/s/", or replies with a failure if it is not valid.
    void handle(const HttpExchangePtr &exchange);
    std::size_t requestsInProgress() const { return m_requests.size(); }
    /// Sends queued requests for which slots are free and refuses those whose deadline has passed;
    /// to be called at least every 50 ms and after slots have become free.
    void serveQueues();

private:
    void enqueue(const std::shared_ptr<ProxiedRequest> &request);
    void serveQueue(const ServiceId &service);
    void refuse(const RefusedTicket &refused);
    std::shared_ptr<ProxiedRequest> find(std::uint64_t number) const;

    ProxyContext &m_context;
    ProxiedRequest::Callbacks m_callbacks;
    std::uint64_t m_nextNumber = 1;
    std::map<std::uint64_t, std::shared_ptr<ProxiedRequest>> m_requests;
    /// Services whose queues are served in the next iteration of the event loop because a slot has
    /// become free; not at once, so that a request that ends does not start others from within its
    /// own callback.
    std::set<ServiceId> m_servicesWithFreedSlot;
    Timer m_serveTimer;
};

} // namespace Tarragon
