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

/// How a modelled target ended a request, and its load at that moment.
struct TargetAnswer
{
    /// Whether the request ran; otherwise it was declined.
    bool hasRun = false;
    LoadReport load;
};

/// A modelled target: slots, a short queue, and a memory of the objects that it handled last, on
/// which it works faster.
class ModelTarget
{
public:
    using Answer = std::function<void(const TargetAnswer &)>;

    ModelTarget(VirtualSchedule &schedule, const ModelService &service, DiscoveredTarget entry,
                std::uint64_t seed);
    ModelTarget(const ModelTarget &) = delete;
    ModelTarget &operator=(const ModelTarget &) = delete;

    /// Takes a request. Without an object the work is always the whole one. The answer is given
    /// when the request has run or is declined, never while the target is silent.
    void submit(microseconds work, std::optional<std::uint64_t> object, const Answer &answer);
    void forget();
    void setDown(bool isDown) { m_isDown = isDown; }
    bool isDown() const { return m_isDown; }
    void setSilent(bool isSilent) { m_isSilent = isSilent; }
    /// Sets how many times as long work takes.
    void setSlowness(double factor) { m_slowness = factor; }
    /// Sets the part of requests that are declined.
    void setShedPart(double part) { m_shedPart = part; }

    const DiscoveredTarget &entry() const { return m_entry; }
    LoadReport load() const;
    /// Time that slots have been in use since the last call, summed over slots.
    microseconds takeBusyTime();
    /// Most requests that waited at once.
    int longestQueue() const { return m_longestQueue; }

private:
    struct Job
    {
        microseconds work{ 0 };
        std::optional<std::uint64_t> object;
        Answer answer;
    };

    void start(const Job &job);
    void finish(const Answer &answer);
    /// Whether the object is remembered; it is from now on.
    bool recall(const std::optional<std::uint64_t> &object);

    VirtualSchedule &m_schedule;
    SlotCount m_slots;
    std::size_t m_queueLimit;
    std::size_t m_remembered;
    double m_knownWork;
    DiscoveredTarget m_entry;
    std::mt19937_64 m_random;
    int m_running = 0;
    std::deque<Job> m_waiting;
    /// Objects, those handled last in front.
    std::list<std::uint64_t> m_objects;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_places;
    bool m_isDown = false;
    bool m_isSilent = false;
    double m_slowness = 1;
    double m_shedPart = 0;
    microseconds m_busyTime{ 0 };
    int m_longestQueue = 0;
};

} // namespace Tarragon
