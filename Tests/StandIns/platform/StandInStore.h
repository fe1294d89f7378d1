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
#include <string>

namespace Tarragon {

/// Stand-in of the platform's store over HTTP. The object API and the control endpoints are served
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
        std::string prefix;
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
    void get(const HttpExchangePtr &exchange, const std::string &key);
    void put(const HttpExchangePtr &exchange, const std::string &key);
    void watch(const HttpExchangePtr &exchange);
    void answer(const HttpExchangePtr &exchange, int status, const HttpHeaders &headers,
                const std::string &body);
    void answerListing(const HttpExchangePtr &exchange, const std::string &prefix);
    void answerChangedWatches();
    void applyOutage();
    void listen();

    EventLoop &m_loop;
    std::string m_address;
    std::uint16_t m_port = 0;
    StandInObjects m_objects;
    StandInInstances m_instances;
    StandInFaults m_faults;
    std::map<std::string, std::uint64_t> m_counters;
    std::list<Watch> m_watches;
    std::list<Delayed> m_delayed;
    std::unique_ptr<HttpServer> m_server;
    HttpServer m_controlServer;
    Timer m_outageTimer;
};

} // namespace Tarragon
