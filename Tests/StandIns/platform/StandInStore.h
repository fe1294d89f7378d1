#pragma once

#include "StandIns/platform/StandInFaults.h"
#include "StandIns/platform/StandInInstances.h"
#include "StandIns/platform/StandInObjects.h"
#include "net/EventLoop.h"
#include "net/HttpServer.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace Tarragon {

/// Stand-in for the platform's store. Implements the platform's HTTP API: objects by kind and name,
/// conditional updates, and watches. One port serves the object API and the control endpoints. A
/// second port serves only the control endpoints, because an outage that refuses connections closes
/// the first port.
class StandInStore
{
public:
    /// Listens on the address; port 0 selects a free port. Throws Error if it cannot listen.
    StandInStore(EventLoop &loop, std::string address, std::uint16_t port,
                 std::uint16_t controlPort);
    ~StandInStore();
    StandInStore(const StandInStore &) = delete;
    StandInStore &operator=(const StandInStore &) = delete;

    std::uint16_t port() const { return m_port; }
    std::uint16_t controlPort() const { return m_controlServer.port(); }
    /// Sets the faults named in the JSON. An outage starts or ends in the next iteration of the
    /// loop.
    void control(const nlohmann::json &json);
    /// Replaces the list of instances.
    void setInstances(const nlohmann::json &instances);
    /// Returns the number of calls by operation, and of conflicts, refused calls and lost
    /// responses.
    nlohmann::json counters() const;
    StandInObjects &objects() { return m_objects; }

private:
    /// Pending watch request.
    struct Watch
    {
        HttpExchangePtr exchange;
        std::string kind;
        std::uint64_t after = 0;
        Timer timeout;
    };
    /// Delayed step of a call.
    struct Delayed
    {
        Timer timer;
        sigc::slot<void()> step;
    };

    void onStoreRequest(const HttpExchangePtr &exchange);
    void onControlRequest(const HttpExchangePtr &exchange);
    void answerControl(const HttpExchangePtr &exchange);
    /// Runs the step after the delay, or at once if the delay is 0.
    void after(milliseconds delay, sigc::slot<void()> step);
    void run(const HttpExchangePtr &exchange);
    void runOnKind(const HttpExchangePtr &exchange, const std::string &kind);
    void runOnObject(const HttpExchangePtr &exchange, const std::string &kind,
                     const std::string &name);
    void list(const HttpExchangePtr &exchange, const std::string &kind);
    void create(const HttpExchangePtr &exchange, const std::string &kind);
    void replace(const HttpExchangePtr &exchange, const std::string &kind, const std::string &name);
    void remove(const HttpExchangePtr &exchange, const std::string &kind, const std::string &name);
    void watch(const HttpExchangePtr &exchange, const std::string &kind);
    /// Responds to a write that has taken effect, or aborts the connection if its response is to be
    /// lost.
    void answerWrite(const HttpExchangePtr &exchange, const nlohmann::json &object);
    /// Returns the headers of all responses of the object API.
    HttpHeaders eraHeader() const;
    void answer(const HttpExchangePtr &exchange, int status, const nlohmann::json &body);
    /// Responds to a watch if there are changes after the revision, if their history is gone, or if
    /// the wait has timed out. Returns whether a response was sent.
    bool answerChanges(const HttpExchangePtr &exchange, const std::string &kind,
                       std::uint64_t after, bool waitIsOver);
    void answerChangedWatches();
    /// Updates the objects for the instances whose changes are visible after the list's lag.
    void showInstances();
    void applyOutage();
    void listen();

    EventLoop &m_loop;
    std::string m_address;
    std::uint16_t m_port = 0;
    StandInObjects m_objects;
    StandInInstances m_instances;
    /// Kinds and names of the objects that represent listed instances.
    std::set<std::pair<std::string, std::string>> m_listed;
    StandInFaults m_faults;
    std::map<std::string, std::uint64_t> m_counters;
    std::list<Watch> m_watches;
    std::list<Delayed> m_delayed;
    std::unique_ptr<HttpServer> m_server;
    HttpServer m_controlServer;
    Timer m_outageTimer;
};

} // namespace Tarragon
