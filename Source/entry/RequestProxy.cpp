#include "entry/RequestProxy.h"

namespace Tarragon {

namespace {

/// Retry-After while this entry has no configuration yet.
constexpr milliseconds RetryAfterStart{ 1'000 };

/// Replies to a request that is refused before a ProxiedRequest is created for it.

void refuseEarly(HttpExchange &exchange, Failure failure, const std::string &requestId)
{
    failure.verdict = verdictOfEarlyRefusal(exchange);
    replyWithFailure(exchange, failure, requestId);
}

} // namespace

RequestProxy::RequestProxy(ProxyContext &context)
    : m_context(context)
{
    m_callbacks.enqueue = [this](const std::shared_ptr<ProxiedRequest> &request) {
        enqueue(request);
    };
    m_callbacks.dequeue = [this](const ProxiedRequest &request) {
        m_context.state.admission(request.service()).cancel(request.number());
    };
    m_callbacks.slotFreed = [this](const ServiceId &service) {
        m_servicesWithFreedSlot.insert(service);
        if (!m_serveTimer.isActive()) {
            m_serveTimer = m_context.loop.schedule(microseconds(0), [this] {
                std::set<ServiceId> freed;
                std::swap(freed, m_servicesWithFreedSlot);
                for (const ServiceId &it : freed) {
                    serveQueue(it);
                }
            });
        }
    };
    m_callbacks.ended = [this](const ProxiedRequest &request) {
        const std::map<std::uint64_t, std::shared_ptr<ProxiedRequest>>::iterator it =
                m_requests.find(request.number());
        if (it == m_requests.end()) {
            return;
        }
        // A function of the request is still on the call stack; the posted function keeps the
        // request alive until the next iteration of the event loop.
        const std::shared_ptr<ProxiedRequest> ended = it->second;
        m_requests.erase(it);
        m_context.loop.post([ended] {});
        m_context.metrics.setRequestsInProgress(m_requests.size());
    };
}

void RequestProxy::handle(const HttpExchangePtr &exchange)
{
    std::variant<RequestHead, Failure> parsed = parseRequestHead(*exchange);
    if (const Failure *failure = std::get_if<Failure>(&parsed)) {
        refuseEarly(*exchange, *failure, "");
        return;
    }
    RequestHead &head = std::get<RequestHead>(parsed);
    if (m_context.state.configuration() == nullptr) {
        refuseEarly(*exchange,
                    Failure{ 503, "no-configuration", Verdict::NotRun,
                             "this entry has no configuration yet", RetryAfterStart },
                    head.requestId.value());
        return;
    }
    const ServiceConfiguration *service = m_context.state.findService(head.service);
    if (service == nullptr) {
        refuseEarly(*exchange,
                    Failure{ 404, "unknown-service", Verdict::NotRun,
                             "the document names no service \"" + head.service.value() + "\"",
                             milliseconds(0) },
                    head.requestId.value());
        return;
    }
    const std::uint64_t maxBody = m_context.settings.maxBody.value;
    if (exchange->body().size() > maxBody) {
        refuseEarly(*exchange,
                    Failure{ 413, "body-too-large", Verdict::NotRun,
                             "found a body of " + std::to_string(exchange->body().size())
                                     + " bytes, expected at most " + std::to_string(maxBody),
                             milliseconds(0) },
                    head.requestId.value());
        return;
    }
    const std::uint64_t number = m_nextNumber++;
    const std::shared_ptr<ProxiedRequest> request = std::make_shared<ProxiedRequest>(
            m_context, m_callbacks, number, exchange, std::move(head), *service);
    m_requests[number] = request;
    m_context.metrics.setRequestsInProgress(m_requests.size());
    request->start();
}

void RequestProxy::enqueue(const std::shared_ptr<ProxiedRequest> &request)
{
    AdmissionControl &admission = m_context.state.admission(request->service());
    const AdmissionResult result = admission.enqueue(request->number(), request->requestClass(),
                                                     request->deadline(), m_context.loop.now());
    for (const RefusedTicket &it : result.displaced) {
        refuse(it);
    }
    if (!result.queued) {
        refuse(RefusedTicket{ request->number(), result.retryAfter });
    }
}

void RequestProxy::refuse(const RefusedTicket &refused)
{
    const std::shared_ptr<ProxiedRequest> request = find(refused.ticket);
    if (request == nullptr) {
        return;
    }
    request->fail(Failure{ 429, "overload", Verdict::NotRun,
                           "all slots of the targets of service \"" + request->service().value()
                                   + "\" are in use, and the request cannot wait for one",
                           refused.retryAfter });
}

void RequestProxy::serveQueues()
{
    if (m_context.state.configuration() == nullptr) {
        return;
    }
    for (const auto &[id, service] : m_context.state.configuration()->services) {
        serveQueue(id);
    }
}

void RequestProxy::serveQueue(const ServiceId &service)
{
    const MonotonicTime now = m_context.loop.now();
    AdmissionControl &admission = m_context.state.admission(service);
    for (const RefusedTicket &it : admission.takeExpired(now)) {
        refuse(it);
    }
    while (const std::optional<TicketNumber> ticket = admission.next(now)) {
        const std::shared_ptr<ProxiedRequest> request = find(*ticket);
        if (request == nullptr || request->isEnded()) {
            continue;
        }
        if (!request->tryTarget()) {
            admission.putBack(*ticket, request->requestClass(), request->deadline());
            return;
        }
    }
}

std::shared_ptr<ProxiedRequest> RequestProxy::find(std::uint64_t number) const
{
    const std::map<std::uint64_t, std::shared_ptr<ProxiedRequest>>::const_iterator it =
            m_requests.find(number);
    return it == m_requests.end() ? nullptr : it->second;
}

} // namespace Tarragon
