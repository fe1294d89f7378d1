#include "steering/TargetHealth.h"

#include <algorithm>

namespace Tarragon {
namespace {

/// An ejection that begins within this time after the previous one ended lasts twice as long.
constexpr microseconds RepetitionWindow{ 60'000'000 };

/// Bounds the exponent of the ejection time. More doublings would exceed every sensible maximum.
constexpr int MaxDoublings = 10;

} // namespace

TargetHealth::TargetHealth(const TargetHealthOptions &options)
    : m_options(options)
{}

void TargetHealth::setTargets(const std::map<TargetId, ServiceId> &targets)
{
    std::erase_if(m_states, [&](const auto &it) { return !targets.contains(it.first); });
    for (const auto &[target, service] : targets) {
        m_states[target].service = service;
    }
    // With fewer targets left, the ejected ones could be more than half.
    std::map<ServiceId, int> spare;
    for (const auto &it : m_states) {
        spare[it.second.service] += it.second.ejectedAt ? -1 : 1;
    }
    for (auto &it : m_states) {
        int &left = spare[it.second.service];
        if (it.second.ejectedAt && left < 0) {
            it.second.ejectedAt.reset();
            left += 2;
        }
    }
}

void TargetHealth::onSuccess(const TargetId &target, MonotonicTime now)
{
    const auto found = m_states.find(target);
    // A response to a request from before the ejection says nothing about the target now.
    if (found != m_states.end() && !isEjected(found->second, now)) {
        found->second.failures = 0;
    }
}

void TargetHealth::onFailure(const TargetId &target, MonotonicTime now)
{
    const auto found = m_states.find(target);
    if (found != m_states.end()) {
        countFailure(found->second, now);
    }
}

void TargetHealth::onProbe(const TargetId &target, bool passed, MonotonicTime now)
{
    const auto found = m_states.find(target);
    if (found == m_states.end()) {
        return;
    }
    State &state = found->second;
    // Probe endpoints can be misleading: a target that passes probes but fails requests must stay
    // ejected for the full time. So a passed probe neither ends an ejection nor resets the count of
    // failures.
    if (passed) {
        return;
    }
    if (isEjected(state, now)) {
        state.ejectedUntil = std::max(state.ejectedUntil, now + m_options.baseEjectionTime);
    } else {
        countFailure(state, now);
    }
}

void TargetHealth::onLoadReport(const TargetId &target, double load, microseconds age,
                                MonotonicTime now)
{
    const auto found = m_states.find(target);
    if (found == m_states.end()) {
        return;
    }
    State &state = found->second;
    const MonotonicTime measured = now - age;
    if (!state.loadMeasuredAt || measured >= *state.loadMeasuredAt) {
        state.load = std::clamp(load, 0.0, 1.0);
        state.loadMeasuredAt = measured;
    }
}

void TargetHealth::onReturn(const TargetId &target, MonotonicTime now)
{
    const auto found = m_states.find(target);
    if (found != m_states.end()) {
        State &state = found->second;
        state.failures = 0;
        state.ejections = 0;
        state.ejectedAt.reset();
        state.rampSince = now;
    }
}

TargetCondition TargetHealth::condition(const TargetId &target, MonotonicTime now) const
{
    const auto found = m_states.find(target);
    if (found == m_states.end()) {
        return TargetCondition{ 0, 0, false };
    }
    const State &state = found->second;
    TargetCondition condition;
    if (isEjected(state, now)) {
        condition.weight = 0;
        condition.ejected = true;
    }
    const std::optional<MonotonicTime> start = rampStart(state, now);
    if (start && now - *start < m_options.coldStartDuration) {
        const double progress = static_cast<double>((now - *start).count())
                                / static_cast<double>(m_options.coldStartDuration.count());
        condition.ramp = m_options.initialRamp + (1 - m_options.initialRamp) * progress;
    }
    if (state.loadMeasuredAt && now - *state.loadMeasuredAt < m_options.loadReportLifetime) {
        const double freshness =
                1
                - static_cast<double>((now - *state.loadMeasuredAt).count())
                          / static_cast<double>(m_options.loadReportLifetime.count());
        condition.weight *= std::max(m_options.minLoadWeight, 1 - state.load * freshness);
    }
    return condition;
}

int TargetHealth::ejectedCount(const ServiceId &service, MonotonicTime now) const
{
    return static_cast<int>(std::count_if(m_states.begin(), m_states.end(), [&](const auto &it) {
        return it.second.service == service && isEjected(it.second, now);
    }));
}

void TargetHealth::countFailure(State &state, MonotonicTime now)
{
    if (isEjected(state, now) || ++state.failures < m_options.failuresToEject) {
        return;
    }
    const auto all = std::count_if(m_states.begin(), m_states.end(), [&](const auto &it) {
        return it.second.service == state.service;
    });
    const int ejected = ejectedCount(state.service, now) + 1;
    if (ejected > all - ejected) {
        return;
    }
    const bool repeated = state.ejectedAt && now - state.ejectedUntil < RepetitionWindow;
    state.ejections = repeated ? std::min(state.ejections + 1, MaxDoublings) : 1;
    state.ejectedAt = now;
    state.ejectedUntil = now
                         + std::min(m_options.maxEjectionTime,
                                    m_options.baseEjectionTime * (1 << (state.ejections - 1)));
    state.failures = 0;
}

bool TargetHealth::isEjected(const State &state, MonotonicTime now) const
{
    return state.ejectedAt && now < state.ejectedUntil;
}

std::optional<MonotonicTime> TargetHealth::rampStart(const State &state, MonotonicTime now) const
{
    std::optional<MonotonicTime> start = state.rampSince;
    if (state.ejectedAt && now >= state.ejectedUntil && (!start || *start < state.ejectedUntil)) {
        start = state.ejectedUntil;
    }
    return start;
}

} // namespace Tarragon
