#pragma once

#include "model/LoadPlan.h"
#include "model/VirtualSchedule.h"
#include "routing/DiscoveredTarget.h"
#include "routing/LoadReport.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <random>
#include <unordered_map>

namespace Tarragon {

/// Outcome of a request at a modelled target, and the load of the target at that moment.
struct TargetResult
{
    /// Whether the request ran; otherwise it was declined.
    bool hasRun = false;
    LoadReport load;
};

/// A modelled target with slots, a short queue and an LRU cache of objects. Requests about cached
/// objects take less time.
class ModelTarget
{
public:
    using OnResult = std::function<void(const TargetResult &)>;

    ModelTarget(VirtualSchedule &schedule, const ModelService &service, DiscoveredTarget entry,
                std::uint64_t seed);
    ModelTarget(const ModelTarget &) = delete;
    ModelTarget &operator=(const ModelTarget &) = delete;

    /// Starts, queues or declines a request. A request without an object always takes the full
    /// work. Calls onResult when the request has run or is declined, but never while the target is
    /// unresponsive.
    void submit(microseconds work, std::optional<std::uint64_t> object, const OnResult &onResult);
    /// Empties the cache of objects.
    void forget();
    void setDown(bool isDown) { m_isDown = isDown; }
    bool isDown() const { return m_isDown; }
    void setUnresponsive(bool isUnresponsive) { m_isUnresponsive = isUnresponsive; }
    /// Sets the factor by which the processing time is multiplied.
    void setSlowness(double factor) { m_slowness = factor; }
    /// Sets the probability with which a request is declined.
    void setShedProbability(double probability) { m_shedProbability = probability; }

    const DiscoveredTarget &entry() const { return m_entry; }
    LoadReport load() const;
    /// Returns the processing time of the requests started since the last call, summed over slots.
    microseconds takeBusyTime();
    /// Maximum number of requests that were queued at once.
    int longestQueue() const { return m_longestQueue; }

private:
    struct Job
    {
        microseconds work{ 0 };
        std::optional<std::uint64_t> object;
        OnResult onResult;
    };

    void start(const Job &job);
    void finish(const OnResult &onResult);
    /// Whether the object is cached. Caches the object and marks it as the most recently used one.
    bool lookUpAndCache(const std::optional<std::uint64_t> &object);

    VirtualSchedule &m_schedule;
    SlotCount m_slots;
    std::size_t m_queueLimit;
    std::size_t m_remembered;
    double m_knownWork;
    DiscoveredTarget m_entry;
    std::mt19937_64 m_random;
    int m_running = 0;
    std::deque<Job> m_waiting;
    /// Cached objects, most recently used first.
    std::list<std::uint64_t> m_objects;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_objectPositions;
    bool m_isDown = false;
    bool m_isUnresponsive = false;
    double m_slowness = 1;
    double m_shedProbability = 0;
    microseconds m_busyTime{ 0 };
    int m_longestQueue = 0;
};

} // namespace Tarragon
