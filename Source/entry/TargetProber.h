#pragma once

#include "base/Ids.h"
#include "entry/ServingState.h"
#include "net/EventLoop.h"
#include "net/HttpClient.h"
#include "steering/Membership.h"

#include <map>

namespace Tarragon {

/// Probes the health and load of the targets of the own failure domain by HTTP. The timeout of a
/// probe is shorter than the period, so that it has ended when the next one is due.
class TargetProber
{
public:
    TargetProber(EventLoop &loop, ServingState &state, Membership &membership);

    /// Starts a health probe and a load probe of each target; to be called every ProbePeriod.
    void probe();

    static constexpr milliseconds ProbePeriod{ 1'000 };

private:
    void probeHealth(const Target &target, const std::string &path);
    void readLoad(const Target &target, const std::string &path);
    void onLoad(const TargetId &target, const HttpResponse &response);

    EventLoop &m_loop;
    /// Not shared with requests: responses to probes have no request id, so that a late copy of one
    /// could not be told from the response to a request on the same connection.
    HttpClient m_client;
    ServingState &m_state;
    Membership &m_membership;
    std::map<TargetId, HttpCallPtr> m_healthCalls;
    std::map<TargetId, HttpCallPtr> m_loadCalls;
};

} // namespace Tarragon
