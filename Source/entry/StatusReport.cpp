#include "entry/StatusReport.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace Tarragon {

namespace {

using nlohmann::json;

std::string hexadecimal(std::uint64_t value)
{
    std::ostringstream text;
    text << std::hex << value;
    return text.str();
}

const char *stateName(bool isLeaving, DrainPhase phase)
{
    if (phase == DrainPhase::Finished) {
        return "finished";
    }
    return isLeaving ? "leaving" : "serving";
}

const char *memberState(EntryState state)
{
    switch (state) {
    case EntryState::Live:
        return "serving";
    case EntryState::Leaving:
        return "leaving";
    case EntryState::Unreachable:
        break;
    }
    return "lost";
}

json entryMember(const StatusSources &sources, const EntrySeat &seat, const FailureDomainId &domain,
                 MonotonicTime now)
{
    json member{ { "kind", "entry" },
                 { "id", seat.id.value() },
                 { "failureDomain", domain.value() },
                 { "state", memberState(sources.state.entryState(seat.id)) } };
    const std::map<InstanceId, PeerCoordinator::PeerReport>::const_iterator it =
            sources.peers.reports().find(seat.id);
    if (it != sources.peers.reports().end()) {
        member["generation"] = it->second.generation.value();
        member["planVersion"] = it->second.plan.value();
        member["heardMs"] =
                std::chrono::duration_cast<milliseconds>(now - it->second.lastHeartbeatAt).count();
    }
    return member;
}

json members(const StatusSources &sources, MonotonicTime now)
{
    json list = json::array();
    const ConfigurationPtr &configuration = sources.state.configuration();
    for (const auto &[id, domain] : configuration->topology.domains) {
        for (const EntrySeat &it : domain.entries) {
            if (it.id != sources.settings.instance) {
                list.push_back(entryMember(sources, it, id, now));
            }
        }
    }
    for (const auto &[id, target] : sources.state.ownTargets()) {
        const bool isEjected = sources.state.health().condition(id, now).ejected;
        const bool isLeaving = sources.state.isLeaving(*target);
        list.push_back({ { "kind", "target" },
                         { "id", id.value() },
                         { "failureDomain", target->domain.value() },
                         { "state", isLeaving ? "leaving" : (isEjected ? "lost" : "serving") } });
    }
    return list;
}

json services(const StatusSources &sources, MonotonicTime now)
{
    json list = json::array();
    for (const auto &[id, service] : sources.state.configuration()->services) {
        int slots = 0;
        int used = 0;
        for (const Target &it : service.targets) {
            if (it.domain == sources.settings.domain) {
                slots += sources.state.ledger().allowance(it.id, now);
                used += sources.state.ledger().running(it.id);
            }
        }
        list.push_back({ { "service", id.value() },
                         { "region", sources.settings.region.value() },
                         { "slots", slots },
                         { "used", used },
                         { "queued", sources.state.admission(id).waiting() } });
    }
    return list;
}

/// Returns the number of requests of this entry that must end before the planned stop is finished.
int pendingOf(const StatusSources &sources, const PlannedStop &stop)
{
    int count = 0;
    for (const auto &[id, target] : sources.state.ownTargets()) {
        const bool isCovered =
                (stop.kind == StopKind::Target && stop.id == id.value())
                || (stop.kind == StopKind::Domain && stop.id == target->domain.value())
                || (stop.kind == StopKind::Region && stop.id == sources.settings.region.value());
        count += isCovered ? sources.state.ledger().running(id) : 0;
    }
    if (stop.kind == StopKind::Instance && stop.id == sources.settings.instance.value()) {
        count += static_cast<int>(sources.drain.pending().size());
    }
    return count;
}

json stops(const StatusSources &sources)
{
    json list = json::array();
    for (const PlannedStop &it : sources.state.configuration()->stops) {
        const int pending = pendingOf(sources, it);
        json stop{ { "kind", toString(it.kind) },
                   { "id", it.id },
                   { "deadlineSeconds", it.deadline.count() },
                   { "reason", it.reason },
                   { "state", pending > 0 ? "draining" : "finished" },
                   { "pending", json::array() } };
        if (pending > 0) {
            stop["pending"].push_back({ { "instance", sources.settings.instance.value() },
                                        { "what", "requests" },
                                        { "count", pending } });
        }
        list.push_back(stop);
    }
    return list;
}

} // namespace

std::string statusBody(const StatusSources &sources, MonotonicTime now)
{
    const FeedVersions versions = sources.peers.feed().versions();
    json body{ { "instance", sources.settings.instance.value() },
               { "incarnation", hexadecimal(sources.incarnation.value()) },
               { "failureDomain", sources.settings.domain.value() },
               { "region", sources.settings.region.value() },
               { "seat", sources.settings.seat },
               { "state", stateName(sources.isLeaving, sources.drain.phase()) },
               { "generation", versions.generation.value() },
               { "planVersion", versions.plan.value() },
               { "store",
                 { { "reachable", sources.peers.feed().isStoreReachable() },
                   { "lastContactMs", nullptr } } },
               { "members", json::array() },
               { "services", json::array() },
               { "stops", json::array() } };
    if (sources.state.configuration() != nullptr) {
        body["members"] = members(sources, now);
        body["services"] = services(sources, now);
        body["stops"] = stops(sources);
    }
    return body.dump();
}

} // namespace Tarragon
