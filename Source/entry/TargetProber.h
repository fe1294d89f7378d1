#pragma once

#include "base/Ids.h"
#include "entry/ServingState.h"
#include "net/EventLoop.h"
#include "net/HttpClient.h"
#include "steering/Membership.h"

#include <map>

namespace Tarragon {

/// Asks the targets of the own failure domain for their health and load. A probe that is still
/// running when the next is due is left to its timeout.
class TargetProber
{
public:
    TargetProber(EventLoop &loop, HttpClient &client, ServingState &state, Membership &membership);

    /// Starts the probes that are due; to be called every ProbePeriod.
    void probe();

    static constexpr milliseconds ProbePeriod{ 1'000 };

private:
    void probeHealth(const Target &target, const std::string &path);
    void readLoad(const Target &target, const std::string &path);
    void onLoad(const TargetId &target, const HttpResponse &response);

    EventLoop &m_loop;
    HttpClient &m_client;
    ServingState &m_state;
    Membership &m_membership;
    std::map<TargetId, HttpCallPtr> m_healthCalls;
    std::map<TargetId, HttpCallPtr> m_loadCalls;
};

} // namespace Tarragon
