#include "entry/TargetProber.h"

#include <nlohmann/json.hpp>

namespace Tarragon {

namespace {

/// Largest response to a probe.
constexpr ByteCount MaxReportBytes{ 16 * 1024 };

HttpRequest probeRequest(const Target &target, const std::string &path)
{
    HttpRequest request;
    request.address = target.http.address;
    request.port = target.http.port;
    request.uri = path;
    request.connectTimeout = TargetProber::ProbePeriod / 2;
    request.timeout = TargetProber::ProbePeriod * 9 / 10;
    return request;
}

} // namespace

TargetProber::TargetProber(EventLoop &loop, ServingState &state, Membership &membership)
    : m_loop(loop)
    , m_client(loop)
    , m_state(state)
    , m_membership(membership)
{}

void TargetProber::probe()
{
    for (const auto &[id, target] : m_state.ownTargets()) {
        const ServiceConfiguration *service = m_state.serviceOf(id);
        if (service == nullptr) {
            continue;
        }
        probeHealth(*target, service->healthPath);
        readLoad(*target, service->loadPath);
    }
}

void TargetProber::probeHealth(const Target &target, const std::string &path)
{
    const TargetId id = target.id;
    m_healthCalls[id] = m_client.fetch(
            probeRequest(target, path), MaxReportBytes,
            [this, id](const HttpResponse &response) {
                m_membership.onTargetReached(id, m_loop.now());
                m_state.health().onProbe(id, response.head.status == 200, m_loop.now());
            },
            [this, id](const HttpFailure &) { m_state.health().onProbe(id, false, m_loop.now()); });
}

void TargetProber::readLoad(const Target &target, const std::string &path)
{
    const TargetId id = target.id;
    m_loadCalls[id] = m_client.fetch(
            probeRequest(target, path), MaxReportBytes,
            [this, id](const HttpResponse &response) { onLoad(id, response); },
            [](const HttpFailure &) {});
}

void TargetProber::onLoad(const TargetId &target, const HttpResponse &response)
{
    const nlohmann::json json = nlohmann::json::parse(response.body, nullptr, false);
    const bool isUsable = response.head.status == 200 && json.is_object()
                          && json.contains("running") && json["running"].is_number()
                          && json.contains("slots") && json["slots"].is_number()
                          && json["slots"] > 0;
    if (!isUsable) {
        return;
    }
    const double load = json["running"].get<double>() / json["slots"].get<double>();
    const nlohmann::json age = json.value("ageMs", nlohmann::json(0));
    const milliseconds ageMs(age.is_number() ? age.get<std::int64_t>() : 0);
    m_state.health().onLoadReport(target, load, ageMs, m_loop.now());
}

} // namespace Tarragon
