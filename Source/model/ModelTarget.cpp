#include "model/ModelTarget.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

namespace {

/// Spread of the work of single requests about their mean.
constexpr double WorkSpread = 0.15;
constexpr double LeastWorkFactor = 0.3;

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
                         const Answer &answer)
{
    if (m_isSilent) {
        return;
    }
    const bool isShed = std::bernoulli_distribution(m_shedPart)(m_random);
    const bool isFull = m_running >= m_slots.value && m_waiting.size() >= m_queueLimit;
    if (isShed || isFull) {
        answer(TargetAnswer{ false, load() });
        return;
    }
    Job job{ work, object, answer };
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
    const double known = recall(job.object) ? m_knownWork : 1;
    const double spread =
            std::max(LeastWorkFactor, std::normal_distribution<>(1, WorkSpread)(m_random));
    const microseconds time = scaled(job.work, known * spread * m_slowness);
    m_busyTime += time;
    m_schedule.after(time, [this, answer = job.answer] { finish(answer); });
}

void ModelTarget::finish(const Answer &answer)
{
    --m_running;
    if (!m_isSilent && !m_isDown) {
        answer(TargetAnswer{ true, load() });
    }
    if (!m_waiting.empty()) {
        const Job next = std::move(m_waiting.front());
        m_waiting.pop_front();
        start(next);
    }
}

bool ModelTarget::recall(const std::optional<std::uint64_t> &object)
{
    if (!object.has_value() || m_remembered == 0) {
        return false;
    }
    const auto place = m_places.find(*object);
    const bool isKnown = place != m_places.end();
    if (isKnown) {
        m_objects.erase(place->second);
    } else if (m_objects.size() >= m_remembered) {
        m_places.erase(m_objects.back());
        m_objects.pop_back();
    }
    m_objects.push_front(*object);
    m_places[*object] = m_objects.begin();
    return isKnown;
}

void ModelTarget::forget()
{
    m_objects.clear();
    m_places.clear();
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
