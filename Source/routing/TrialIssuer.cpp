#include "routing/TrialIssuer.h"

#include <algorithm>
#include <array>

namespace Tarragon {

namespace {

/// Time from the last ending to the next trial, by the number of endings. The first trial follows
/// at once, because most requests under suspicion did no harm and their callers are waiting.
constexpr std::array<seconds, 5> TrialDelays{ seconds(0), seconds(0), seconds(2), seconds(30),
                                              seconds(300) };
/// Number of endings from which trials count as late.
constexpr std::size_t LateEndings = 3;
/// Late trials in the lifetime of a record. The platform allows three retries of a request under
/// which three targets have ended.
constexpr std::uint32_t MaxLateTrials = 2;
/// Pause between trials of a service's requests under which more than one target ended. A target
/// that has ended is back after some seconds.
constexpr milliseconds RiskyTrialPause{ 2'000 };
/// Bounds of the time after which a denied trial is asked for again. A trial in progress ends
/// before its permit, mostly within a second.
constexpr milliseconds MinRetryAfter{ 100 };
constexpr milliseconds MaxBusyRetryAfter{ 1'000 };
/// Retry-After of requests that are not run again.
constexpr seconds BlockedRetryAfter{ 300 };

bool isLate(const SuspectRecord &record)
{
    return record.endings.size() >= LateEndings;
}

bool isBlocked(const SuspectRecord &record)
{
    return record.endings.size() >= TrialDelays.size()
           || (isLate(record) && record.lateTrials >= MaxLateTrials);
}

} // namespace

MonotonicTime TrialIssuer::nextTrialAt(const SuspectRecord &record, const ServiceId &service,
                                       MonotonicTime now) const
{
    MonotonicTime time = now;
    const auto trial = m_trials.find(record.fingerprint);
    if (trial != m_trials.end()) {
        time = std::max(time, trial->second.nextAt);
    }
    const std::size_t endings = record.endings.size();
    time = std::max(time, m_suspects.lastEndingAt(record.fingerprint) + TrialDelays.at(endings));
    const auto risky = m_nextRiskyTrialAt.find(service);
    if (endings > 1 && risky != m_nextRiskyTrialAt.end()) {
        time = std::max(time, risky->second);
    }
    return time;
}

TrialReply TrialIssuer::issue(const TrialRequest &request, MonotonicTime now)
{
    m_suspects.merge(request.suspect, now);
    const RequestFingerprint id = request.suspect.fingerprint;
    const SuspectRecord record = m_suspects.find(id);
    TrialReply reply;
    reply.suspect = record;
    if (!record.isSuspect()) {
        reply.isGranted = true;
        return reply;
    }
    if (isBlocked(record)) {
        reply.retryAfter = BlockedRetryAfter;
        return reply;
    }
    const auto running = m_trials.find(id);
    if (running != m_trials.end() && now < running->second.endsAt) {
        reply.retryAfter = std::clamp(std::chrono::ceil<milliseconds>(running->second.endsAt - now),
                                      MinRetryAfter, MaxBusyRetryAfter);
        return reply;
    }
    const MonotonicTime next = nextTrialAt(record, request.service, now);
    if (now < next) {
        reply.retryAfter = std::max(MinRetryAfter, std::chrono::ceil<milliseconds>(next - now));
        return reply;
    }
    const std::size_t endings = record.endings.size();
    m_trials[id] = Trial{ now + request.duration, now + TrialDelays.at(endings) };
    if (endings > 1) {
        m_nextRiskyTrialAt[request.service] = now + RiskyTrialPause;
    }
    if (isLate(record)) {
        m_suspects.onLateTrial(id, now);
        reply.suspect = m_suspects.find(id);
    }
    reply.isGranted = true;
    return reply;
}

void TrialIssuer::end(RequestFingerprint request)
{
    const auto it = m_trials.find(request);
    if (it != m_trials.end()) {
        it->second.endsAt = MonotonicTime();
    }
}

void TrialIssuer::removeUnused(MonotonicTime now)
{
    std::erase_if(m_trials, [now](const auto &it) {
        return now >= it.second.endsAt && now >= it.second.nextAt;
    });
}

} // namespace Tarragon
