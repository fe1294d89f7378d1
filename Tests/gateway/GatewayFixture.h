#pragma once

#include "Support/LoopTest.h"
#include "Support/RawListener.h"
#include "gateway/RoutedRequest.h"
#include "net/HttpServer.h"
#include "net/Logging.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Tarragon {

/// Result of a caller's request.
struct CallerResult
{
    std::optional<HttpResponse> response;
    std::optional<HttpFailure> failure;

    int status() const { return response.has_value() ? response->head.status : 0; }
    std::string header(const char *name) const
    {
        return response.has_value() ? response->head.headers.find(name).value_or("") : "";
    }
};

/// The request path of a gateway over real sockets, with callers, a service and targets whose bytes
/// a test scripts.
class GatewayTest : public LoopTest
{
protected:
    /// Answers one request that has arrived at a scripted target.
    using Script = std::function<void(RawSocket &, const std::string &request)>;

    GatewayTest()
    {
        m_settings.domain = FailureDomainId("d1");
        m_settings.region = RegionId("r1");
        m_settings.regions = { { FailureDomainId("d1"), RegionId("r1") } };
        m_state = std::make_unique<GatewayState>(m_settings, m_settings.bounds);
        m_membership.setRecords({});
        m_membership.setServing(true);
        m_permits = std::make_unique<TargetPermits>(
                m_membership, m_state->limits(),
                [this](const InstanceId &, const PermitRequest &,
                       const TargetPermits::ReplySlot &replied) { m_asked.push_back(replied); });
        m_trials = std::make_unique<RequestTrials>(
                m_membership, m_state->suspects(),
                [](const InstanceId &, const TrialRequest &, const RequestTrials::ReplySlot &) {},
                [](const InstanceId &, const SuspectRecord &) {});
        m_usageCaps = std::make_unique<UsageCaps>(
                m_membership,
                [](const InstanceId &, const UsageRequests &, const UsageCaps::RepliesSlot &) {});
        m_context = std::make_unique<GatewayContext>(
                GatewayContext{ m_loop, m_client, *m_state, *m_permits, *m_trials, *m_usageCaps,
                                m_metrics, m_successSampler });
        m_front = std::make_unique<HttpServer>(
                m_loop, "127.0.0.1", 0, HttpServerLimits{},
                [this](const HttpExchangePtr &it) { RoutedRequest::begin(*m_context, it); });
    }

    static EntryRecord ownRecord()
    {
        EntryRecord record;
        record.instance = InstanceId("entry");
        record.domain = FailureDomainId("d1");
        record.region = RegionId("r1");
        record.issuesPermits = true;
        record.issuesColdPermits = true;
        record.issuesTrials = true;
        record.issuesUsage = true;
        return record;
    }

    /// Makes another entry the issuer of all permits. It replies when the test does so by m_asked.
    void letAnotherEntryIssuePermits()
    {
        EntryRecord other = ownRecord();
        other.instance = InstanceId("issuer");
        m_membership.setRecords({ other });
        m_membership.setServing(false);
        m_membership.merge({ GossipMemberState{ other.instance, other.incarnation, 1, true } },
                           m_loop.now());
    }

    static Route makeRoute(const std::string &name, bool isIdempotent)
    {
        Route route;
        route.name = RouteName(name);
        route.host = "stand.example";
        route.pathPrefix = "/" + name + "/";
        route.isIdempotent = isIdempotent;
        route.timeout = milliseconds(1'000);
        route.latencyGoal = milliseconds(250);
        route.weightedServices = { WeightedService{ ServiceId("service"), 1 } };
        route.maxAttempts = 2;
        return route;
    }

    /// Puts a table with the routes /read/ (repeatable) and /pay/ (not) in force.
    void adoptTable(std::uint64_t version = 1, milliseconds timeout = milliseconds(1'000))
    {
        RouteTable table;
        table.version = RouteVersion(version);
        table.routes = { makeRoute("read", true), makeRoute("pay", false) };
        for (Route &it : table.routes) {
            it.timeout = timeout;
        }
        HostedService service;
        service.id = ServiceId("service");
        table.services.emplace(service.id, service);
        ASSERT_TRUE(m_state->adopt(std::move(table)));
        m_state->setEntryCount(1);
    }

    /// Adds a target that runs the script for each request.
    RawListener &addTarget(const std::string &id, const Script &script)
    {
        m_listeners.push_back(std::make_unique<RawListener>(m_loop));
        RawListener &listener = *m_listeners.back();
        listener.accepted().connect([this, id, script](RawSocket &socket) {
            std::shared_ptr<std::size_t> seen = std::make_shared<std::size_t>(0);
            socket.dataReceived().connect([this, id, script, seen, &socket] {
                const std::string request = socket.received().substr(*seen);
                if (request.find("\r\n\r\n") == std::string::npos) {
                    return;
                }
                *seen = socket.received().size();
                m_arrivals.emplace_back(id, request);
                script(socket, request);
            });
        });
        addTargetAt(id, listener.port());
        return listener;
    }
    void addTargetAt(const std::string &id, std::uint16_t port)
    {
        DiscoveredTarget target;
        target.id = TargetId(id);
        target.service = ServiceId("service");
        target.address = Endpoint{ "127.0.0.1", port };
        target.domain = FailureDomainId("d1");
        target.slots = SlotCount{ 4 };
        m_state->registry().set(target, m_loop.now());
        m_state->refreshTargets(m_loop.now());
    }

    static HttpHeaders headersOf(std::initializer_list<HttpHeaders::Field> fields)
    {
        HttpHeaders headers;
        for (const HttpHeaders::Field &it : fields) {
            headers.set(it.first, it.second);
        }
        return headers;
    }

    HttpRequest callerRequest(const std::string &method, const std::string &uri,
                              const std::string &id) const
    {
        HttpRequest request;
        request.address = "127.0.0.1";
        request.port = m_front->port();
        request.method = method;
        request.uri = uri;
        request.headers = headersOf({ { "Host", "stand.example" },
                                      { "Attempt-Id", id },
                                      { "Request-Deadline", "800" } });
        return request;
    }

    CallerResult send(const HttpRequest &request)
    {
        CallerResult result;
        const HttpCallPtr call = m_client.fetch(
                request, ByteCount{ 10'000'000 },
                [&result](const HttpResponse &response) { result.response = response; },
                [&result](const HttpFailure &failure) { result.failure = failure; });
        runUntil([&result] { return result.response.has_value() || result.failure.has_value(); });
        return result;
    }
    CallerResult get(const std::string &uri) { return send(callerRequest("GET", uri, "a1")); }
    CallerResult post(const std::string &uri)
    {
        HttpRequest request = callerRequest("POST", uri, "a1");
        request.body = "seat=4";
        return send(request);
    }

    /// Returns a response as sent by a target.
    static std::string answer(int status, const std::string &fields, const std::string &body)
    {
        return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: "
               + std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body;
    }
    static std::string sealed(const std::string &id = "a1")
    {
        return "Attempt-Id: " + id + "\r\nResponse-Seal: s\r\n";
    }
    static Script answering(const std::string &bytes)
    {
        return [bytes](RawSocket &socket, const std::string &) { socket.send(bytes); };
    }
    static Script answeringAndClosing(const std::string &bytes)
    {
        return [bytes](RawSocket &socket, const std::string &) {
            socket.send(bytes);
            socket.closeAfterSending();
        };
    }
    Script resetting(const std::string &bytes)
    {
        return [this, bytes](RawSocket &socket, const std::string &) {
            if (bytes.empty()) {
                m_loop.post([&socket] { socket.reset(); });
                return;
            }
            socket.send(bytes);
            socket.allSent().connect([&socket] { socket.reset(); });
        };
    }

    HttpClient m_client{ m_loop };
    GatewaySettings m_settings;
    std::shared_ptr<LogBuffer> m_log = initializeLogging("INFO");
    LogLineSampler m_successSampler{ *m_log, 1'000 };
    GatewayMetrics m_metrics;
    std::unique_ptr<GatewayState> m_state;
    /// The entry is the only one, and so issues its own permits.
    EntryMembership m_membership{ ownRecord(), 1 };
    std::unique_ptr<TargetPermits> m_permits;
    std::unique_ptr<RequestTrials> m_trials;
    std::unique_ptr<UsageCaps> m_usageCaps;
    /// Requests for permits to other entries, which a test replies to.
    std::vector<TargetPermits::ReplySlot> m_asked;
    std::unique_ptr<GatewayContext> m_context;
    std::vector<std::unique_ptr<RawListener>> m_listeners;
    /// Requests in the order of their arrival, each with the target's id.
    std::vector<std::pair<std::string, std::string>> m_arrivals;
    std::unique_ptr<HttpServer> m_front;
};

} // namespace Tarragon
