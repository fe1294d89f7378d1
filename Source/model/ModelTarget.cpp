#include "model/ModelTarget.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

namespace {

/// Standard deviation of a single request's work, as a fraction of the mean work.
constexpr double WorkSpread = 0.15;
/// Minimum work of a single request, as a fraction of the mean work.
constexpr double MinWorkFactor = 0.3;

} // namespace

ModelTarget::ModelTarget(VirtualSchedule &schedule, const ModelService &service,
                         DiscoveredTarget entry, std::uint64_t seed)
    : m_schedule(schedule)
    , m_slots(service.slots)
    , m_queueLimit(static_cast<std::size_t>(service.queue))
    , m_remembered(static_cast<std::size_t>(service.remembered))
    , m_knownWork(service.knownWork)
    , m_entry(std::move(entry))
    , m_random(seed)
{}

void ModelTarget::submit(microseconds work, std::optional<std::uint64_t> object,
                         const OnResult &onResult)
{
    if (m_isUnresponsive) {
        return;
    }
    const bool isShed = std::bernoulli_distribution(m_shedProbability)(m_random);
    const bool isFull = m_running >= m_slots.value && m_waiting.size() >= m_queueLimit;
    if (isShed || isFull) {
        onResult(TargetResult{ false, load() });
        return;
    }
    Job job{ work, object, onResult };
    if (m_running < m_slots.value) {
        start(job);
        return;
    }
    m_waiting.push_back(std::move(job));
    m_longestQueue = std::max(m_longestQueue, static_cast<int>(m_waiting.size()));
}

void ModelTarget::start(const Job &job)
{
    ++m_running;
    const double cacheFactor = lookUpAndCache(job.object) ? m_knownWork : 1;
    const double spread =
            std::max(MinWorkFactor, std::normal_distribution<>(1, WorkSpread)(m_random));
    const microseconds time = scaled(job.work, cacheFactor * spread * m_slowness);
    m_busyTime += time;
    m_schedule.after(time, [this, onResult = job.onResult] { finish(onResult); });
}

void ModelTarget::finish(const OnResult &onResult)
{
    --m_running;
    if (!m_isUnresponsive && !m_isDown) {
        onResult(TargetResult{ true, load() });
    }
    if (!m_waiting.empty()) {
        const Job next = std::move(m_waiting.front());
        m_waiting.pop_front();
        start(next);
    }
}

bool ModelTarget::lookUpAndCache(const std::optional<std::uint64_t> &object)
{
    if (!object.has_value() || m_remembered == 0) {
        return false;
    }
    const auto position = m_objectPositions.find(*object);
    const bool isCached = position != m_objectPositions.end();
    if (isCached) {
        m_objects.erase(position->second);
    } else if (m_objects.size() >= m_remembered) {
        m_objectPositions.erase(m_objects.back());
        m_objects.pop_back();
    }
    m_objects.push_front(*object);
    m_objectPositions[*object] = m_objects.begin();
    return isCached;
}

void ModelTarget::forget()
{
    m_objects.clear();
    m_objectPositions.clear();
}

LoadReport ModelTarget::load() const
{
    return LoadReport{ m_running, static_cast<int>(m_waiting.size()), m_slots.value };
}

microseconds ModelTarget::takeBusyTime()
{
    return std::exchange(m_busyTime, microseconds(0));
}

} // namespace Tarragon
