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

/// Stand-in of the platform's store over HTTP, as the platform's pages describe it: objects by kind
/// and name, conditional updates, watches. The object API and the control endpoints are served
/// on one port. A second port serves the control endpoints alone, because an outage that refuses
/// connections closes the first one.
class StandInStore
{
public:
    /// Listens on the address; a port of 0 takes a free one. Throws Error if it cannot listen.
    StandInStore(EventLoop &loop, std::string address, std::uint16_t port,
                 std::uint16_t controlPort);
    ~StandInStore();
    StandInStore(const StandInStore &) = delete;
    StandInStore &operator=(const StandInStore &) = delete;

    std::uint16_t port() const { return m_port; }
    std::uint16_t controlPort() const { return m_controlServer.port(); }
    /// Takes over the switches that the JSON names; an outage starts or ends from the loop.
    void control(const nlohmann::json &json);
    /// Replaces the list of instances.
    void setInstances(const nlohmann::json &instances);
    /// Calls by kind.
    nlohmann::json counters() const;
    StandInObjects &objects() { return m_objects; }

private:
    /// A watch that waits for a change.
    struct Watch
    {
        HttpExchangePtr exchange;
        std::string kind;
        std::uint64_t after = 0;
        Timer timeout;
    };
    /// A step of a call that is delayed.
    struct Delayed
    {
        Timer timer;
        sigc::slot<void()> step;
    };

    void onStoreRequest(const HttpExchangePtr &exchange);
    void onControlRequest(const HttpExchangePtr &exchange);
    void answerControl(const HttpExchangePtr &exchange);
    /// Calls the step after the delay; at once if it is 0.
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
    /// Answers a write that has taken effect, or loses the answer.
    void answerWrite(const HttpExchangePtr &exchange, const nlohmann::json &object);
    void answer(const HttpExchangePtr &exchange, int status, const nlohmann::json &body);
    /// Answers a watch; without changes only if the wait is over.
    bool answerChanges(const HttpExchangePtr &exchange, const std::string &kind,
                       std::uint64_t after, bool waitIsOver);
    void answerChangedWatches();
    /// Makes the listed instances objects of their kinds, as far as the list's lag lets them show.
    void showInstances();
    void applyOutage();
    void listen();

    EventLoop &m_loop;
    std::string m_address;
    std::uint16_t m_port = 0;
    StandInObjects m_objects;
    StandInInstances m_instances;
    /// Kinds and names of the objects that stand for listed instances.
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
